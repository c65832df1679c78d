package examples

import (
	"bytes"
	_ "embed"
)

//go:embed agency.yaml
var agency []byte

//go:embed pindan.yaml
var pindan []byte

// Agency returns the manifest of an ordering site: an urgent service, a nightly
// batch job and long-running tasks.
func Agency() []byte { return bytes.Clone(agency) }

// Pindan returns the manifest of a fixtures site: an urgent service and a batch
// job that can wait.
func Pindan() []byte { return bytes.Clone(pindan) }
