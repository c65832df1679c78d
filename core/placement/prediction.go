package placement

import (
	"github.com/guavarill/guavarill/core/interference"
)

// Predictor predicts how much one task (the aggressor) slows another (the
// victim) on the same worker; see interference.Model.
type Predictor interface {
	// PredictWorkload returns the slowdown that a task of a workload adds to a
	// task of another class, at a load of the worker from 0 to 1.
	PredictWorkload(victimClass, aggressorClass, workload string, load float64) interference.Estimate
	// Version returns a number that changes when predictions may have changed.
	Version() uint64
}

// classID identifies a victim's class within a snapshot, and profileID an
// aggressor's profile.
type (
	classID   int32
	profileID int32
)

// profile identifies an aggressor by its workload, its class and its kind.
type profile struct {
	class, workload string
	service         bool
}

// predictions caches the predictor's results by class, profile and load bucket.
// One decision needs dozens of pairs, and hashing their names each time would
// be most of its cost.
type predictions struct {
	source Predictor
	// version is the predictor's version at the latest refresh, and staleUses
	// counts the decisions since it changed.
	version   uint64
	staleUses int
	// caution is the number of standard deviations by which a prediction
	// differs from the mean; see predict.
	caution     float64
	classes     map[string]classID
	classNames  []string
	profiles    map[profile]profileID
	profileKeys []profile
	// cache has a row for each class, with one entry for each profile and load
	// bucket.
	cache [][]cachedEffect
}

type cachedEffect struct {
	known  bool
	effect float32
}

func newPredictions(source Predictor, caution float64) *predictions {
	return &predictions{
		source:   source,
		caution:  caution,
		classes:  make(map[string]classID),
		profiles: make(map[profile]profileID),
	}
}

func (p *predictions) class(name string) classID {
	id, ok := p.classes[name]
	if !ok {
		id = classID(len(p.classNames))
		p.classes[name] = id
		p.classNames = append(p.classNames, name)
		p.cache = append(p.cache, nil)
	}
	return id
}

func (p *predictions) profile(class, workload string, service bool) profileID {
	key := profile{class, workload, service}
	id, ok := p.profiles[key]
	if !ok {
		id = profileID(len(p.profileKeys))
		p.profiles[key] = id
		p.profileKeys = append(p.profileKeys, key)
	}
	return id
}

// maxStaleUses is the number of decisions after which the cache is cleared when
// the predictor's version has changed. Reports arrive all the time, and no
// single one changes a prediction much.
const maxStaleUses = 64

// refresh clears the cache when the predictor's version has changed and
// maxStaleUses decisions have been made since. It is called once per decision.
func (p *predictions) refresh() {
	if p.source == nil || p.source.Version() == p.version {
		return
	}
	p.staleUses++
	if p.staleUses < maxStaleUses {
		return
	}
	p.staleUses = 0
	p.version = p.source.Version()
	for _, row := range p.cache {
		clear(row)
	}
}

// effect returns a cautious estimate of the slowdown that an aggressor adds to
// a victim, 0 meaning none.
func (p *predictions) effect(victim classID, aggressor profileID, load float64) float64 {
	if p.source == nil {
		return 0
	}
	bucket := interference.LoadBucket(load)
	at := int(aggressor)*interference.NumLoadBuckets + bucket
	row := p.cache[victim]
	if at >= len(row) {
		grown := make([]cachedEffect, 2*len(p.profileKeys)*interference.NumLoadBuckets)
		copy(grown, row)
		p.cache[victim] = grown
		row = grown
	}
	if !row[at].known {
		row[at] = cachedEffect{known: true, effect: float32(p.predict(victim, aggressor, load))}
	}
	return float64(row[at].effect)
}

// predict returns the upper bound of the estimate for a batch aggressor and the
// lower bound for a service. Batch work is kept away from services, so it is
// assumed to be harmful until it is known not to be. A service is assumed to
// be harmless until it is known to harm; otherwise each service would get a
// worker of its own.
func (p *predictions) predict(victim classID, aggressor profileID, load float64) float64 {
	who := p.profileKeys[aggressor]
	estimate := p.source.PredictWorkload(p.classNames[victim], who.class, who.workload, load)
	if who.service {
		return estimate.Upper(-p.caution)
	}
	return estimate.Upper(p.caution)
}
