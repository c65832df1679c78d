package placement

import (
	"github.com/guavarill/guavarill/core/interference"
)

// Predictor tells how much one aggressor slows a victim; see
// interference.Model.
type Predictor interface {
	PredictWorkload(victimClass, aggressorClass, workload string, load float64) interference.Estimate
	// Version changes when predictions may have changed.
	Version() uint64
}

// classID numbers the victim classes of a snapshot, profileID its aggressors.
type (
	classID   int32
	profileID int32
)

// profile is an aggressor: a workload, its class and its kind.
type profile struct {
	class, workload string
	service         bool
}

// predictions keeps what the predictor said, by number and load bucket. A
// decision asks for dozens of pairs, and hashing their names for each would be
// most of its cost.
type predictions struct {
	source      Predictor
	version     uint64
	staleUses   int
	caution     float64
	classes     map[string]classID
	classNames  []string
	profiles    map[profile]profileID
	profileKeys []profile
	cache       [][]cachedEffect
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

// maxStaleUses is how many decisions may use what was kept although the
// predictor has learned since. Reports arrive all the time, and no single one
// changes a prediction much.
const maxStaleUses = 64

// refresh forgets what was kept once the predictor has learned.
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

// effect returns a cautious estimate of what an aggressor adds to a victim's
// slowdown.
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

// predict is cautious about batch aggressors only. Services are what batch is kept
// away from: one next to another is given the benefit of the doubt until it is
// known to harm, or every service would claim a worker of its own.
func (p *predictions) predict(victim classID, aggressor profileID, load float64) float64 {
	who := p.profileKeys[aggressor]
	estimate := p.source.PredictWorkload(p.classNames[victim], who.class, who.workload, load)
	if who.service {
		return estimate.Upper(-p.caution)
	}
	return estimate.Upper(p.caution)
}
