package config

import (
	"maps"
	"slices"
	"strings"
)

// teamPrefix precedes the name of a team in its subject. A subject is the name
// of one part of the configuration in a delta: the name of a workload, teamPrefix
// and the name of a team, or floorName for the generation floor. Subjects of
// teams and workloads differ, because names of workloads contain no slash.
const teamPrefix = "team/"

func teamSubject(team string) string { return teamPrefix + team }

func teamOf(subject string) (string, bool) { return strings.CutPrefix(subject, teamPrefix) }

// changedSubjects returns the sorted subjects that differ between two
// configurations.
func changedSubjects(from, to *Accepted) []string {
	changed := make(map[string]bool)
	compareMaps(changed, from.teams, to.teams, teamSubject, sameTeam)
	compareMaps(changed, from.Workloads, to.Workloads, workloadSubject, sameWorkload)
	compareMaps(changed, from.Retired, to.Retired, workloadSubject, sameRetired)
	if from.GenerationFloor != to.GenerationFloor {
		changed[floorName] = true
	}
	return slices.Sorted(maps.Keys(changed))
}

func workloadSubject(name string) string { return name }

func sameTeam(a, b teamRecord) bool { return a.digest == b.digest }

func sameWorkload(a, b AcceptedWorkload) bool {
	a.Spec, b.Spec = nil, nil
	return a == b
}

func sameRetired(a, b Retired) bool { return a == b }

// compareMaps adds to changed the subjects of the keys that are in only one of
// the maps or whose values differ.
func compareMaps[V any](changed map[string]bool, from, to map[string]V, subject func(string) string, same func(a, b V) bool) {
	for name, now := range to {
		if before, ok := from[name]; !ok || !same(before, now) {
			changed[subject(name)] = true
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			changed[subject(name)] = true
		}
	}
}
