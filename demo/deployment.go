package demo

import (
	"github.com/guavarill/guavarill/examples"
	"github.com/guavarill/guavarill/standin/site"
)

// Deployment is one of the sample sites.
type Deployment struct {
	Name     string
	Site     site.Spec
	Manifest []byte
	// Service is the one that callers call, Batch the job that must finish.
	Service string
	Batch   string
}

// The names of the deployments.
const (
	AgencyName = "agency"
	PindanName = "pindan"
)

// speedup makes the batch tasks of the samples, which run for some minutes,
// end within a demo.
const speedup = 300

// Find returns the deployment of a name, and whether there is one.
func Find(name string) (Deployment, bool) {
	d := Deployment{Name: name}
	switch name {
	case AgencyName:
		d.Site, d.Manifest = site.Agency, examples.Agency()
		d.Service, d.Batch = "order-service", "price-reconciliation"
	case PindanName:
		d.Site, d.Manifest = site.Pindan, examples.Pindan()
		d.Service, d.Batch = "fixture-engine", "ladder-rebuild"
	default:
		return d, false
	}
	d.Site.Speedup = speedup
	return d, true
}
