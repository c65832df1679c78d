package job

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files")

// previousReader reads a progress record as the previous version does. It returns the
// occurrences that are done and those that are open, and an error for a record with
// which that version sets the job aside.
func previousReader(data []byte, spec *Spec) (done, open []int, err error) {
	var p struct {
		State       State                      `json:"state"`
		Occurrences map[int]OccurrenceProgress `json:"occurrences"`
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, nil, err
	}
	for number, o := range p.Occurrences {
		if number >= spec.Schedule.Repetitions || !o.Done && !o.matches(spec) {
			return nil, nil, fmt.Errorf("occurrence %d does not match", number)
		}
	}
	for number := range spec.Schedule.Repetitions {
		o, ok := p.Occurrences[number]
		switch {
		case !ok:
			return done, open, nil
		case o.Done:
			done = append(done, number)
		default:
			open = append(open, number)
		}
	}
	return done, open, nil
}

func scheduledSpec(repetitions int) *Spec {
	return &Spec{Steps: []Step{{Count: 2}}, Schedule: &Schedule{Repetitions: repetitions}}
}

// recordOf returns a record of a job of which the occurrences below begun have begun
// and the given ones are open.
func recordOf(begun int, open ...int) *Progress {
	p := &Progress{State: Running, Occurrences: make(map[int]OccurrenceProgress)}
	for _, number := range open {
		p.Occurrences[number] = OccurrenceProgress{Steps: []StepProgress{{Done: "10"}}}
	}
	p.SetBegun(begun)
	return p
}

// TestRecordsOfBothVersions compares the records of this version with the golden files
// and checks what each version makes of the other's.
func TestRecordsOfBothVersions(t *testing.T) {
	previous, err := os.ReadFile(filepath.Join("testdata", "progress", "previous.json"))
	if err != nil {
		t.Fatal(err)
	}
	read := checkOpen(t, previous, 4, 1, 3)
	if failed := read.Occurrences[1].Steps[0].Tasks[1].Failed; !slices.Equal(failed, []int{1}) {
		t.Errorf("failed attempts %v", failed)
	}
	small := goldenRecord(t, "small.json", recordOf(5, 1, 4))
	checkOpen(t, small, 5, 1, 4)
	done, open, err := previousReader(small, scheduledSpec(9))
	if err != nil || !slices.Equal(done, []int{0, 2, 3}) || !slices.Equal(open, []int{1, 4}) {
		t.Errorf("the previous version reads done %v, open %v: %v", done, open, err)
	}
	large := goldenRecord(t, "large.json", recordOf(86_400, 86_000, 86_399))
	checkOpen(t, large, 86_400, 86_000, 86_399)
	if done, open, err := previousReader(large, scheduledSpec(100_000)); err == nil {
		t.Errorf("the previous version goes on with a record without the done occurrences: %d done, open %v", len(done), open)
	}
}

// checkOpen checks which occurrences this version reads from a record.
func checkOpen(t *testing.T, data []byte, begun int, open ...int) *Progress {
	t.Helper()
	p, err := DecodeProgress(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.CheckAgainst(scheduledSpec(100_000)); err != nil {
		t.Error(err)
	}
	if gotBegun, gotOpen := p.Open(); gotBegun != begun || !slices.Equal(gotOpen, open) {
		t.Errorf("%d begun, open %v; want %d, %v", gotBegun, gotOpen, begun, open)
	}
	return p
}

// goldenRecord returns the stored form of a record after comparing it with a golden
// file.
func goldenRecord(t *testing.T, name string, p *Progress) []byte {
	t.Helper()
	file, data := filepath.Join("testdata", "progress", name), append(p.Encode(), '\n')
	if *update {
		if err := os.WriteFile(file, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(golden, data) {
		t.Errorf("%s: %s", name, data)
	}
	return data
}

// TestEachCountOfDoneOccurrences checks, for records around the largest that lists all
// done occurrences, that no version takes a done one for open or not begun.
func TestEachCountOfDoneOccurrences(t *testing.T) {
	const repetitions = 2 * maxListedDone
	for _, done := range []int{0, 1, maxListedDone - 1, maxListedDone, maxListedDone + 1} {
		data := recordOf(done+2, 0, done/2+1).Encode()
		checkOpen(t, data, done+2, 0, done/2+1)
		listed, open, err := previousReader(data, scheduledSpec(repetitions))
		switch {
		case done > maxListedDone && err == nil:
			t.Errorf("%d done: the previous version goes on", done)
		case done <= maxListedDone && (err != nil || len(listed) != done || !slices.Equal(open, []int{0, done/2 + 1})):
			t.Errorf("%d done: the previous version reads %d, open %v: %v", done, len(listed), open, err)
		}
	}
}

// TestImpossibleOccurrencesAreRejected checks records that no leader writes.
func TestImpossibleOccurrencesAreRejected(t *testing.T) {
	for name, data := range map[string]string{
		"negative":               `{"state":"running","begun":-1}`,
		"more than there are":    `{"state":"running","begun":10}`,
		"open and not begun":     `{"state":"running","begun":2,"occurrences":{"2":{"steps":[{}]}}}`,
		"placeholder alone":      `{"state":"running","occurrences":{"9223372036854775807":{"done":true}}}`,
		"negative occurrence":    `{"state":"running","begun":2,"occurrences":{"-1":{"steps":[{}]}}}`,
		"another job's open one": `{"state":"running","begun":2,"occurrences":{"1":{"steps":[{},{}]}}}`,
	} {
		p, err := DecodeProgress([]byte(data))
		if err == nil {
			err = p.CheckAgainst(scheduledSpec(9))
		}
		if err == nil {
			t.Errorf("%s: accepted, with %v", name, slices.Collect(maps.Keys(p.Occurrences)))
		}
	}
}
