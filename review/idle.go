package review

import "time"

const (
	// TaskCPU is what each task of the cases asks for, in thousandths of a core.
	TaskCPU = 500
	// sample is the time between two looks at what runs.
	sample = 50 * time.Millisecond
)

// LongestIdle watches the minions for some time. It returns, for each job, the longest
// time on end in which nothing of it ran although not all of its tasks were done and
// under half of the minions' room was in use. All jobs have so many tasks, each of
// TaskCPU.
func (s *Site) LongestIdle(observed time.Duration, ids []string, tasksOfJob int) map[string]time.Duration {
	longest, since := make(map[string]time.Duration), make(map[string]time.Time)
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(sample) {
		total, ofJob := s.running()
		free := total*TaskCPU < len(s.allMinions())*MinionCPU/2
		for _, id := range ids {
			if !free || ofJob[id] > 0 || s.Ended(id, Done) >= tasksOfJob {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = time.Now()
			}
			longest[id] = max(longest[id], time.Since(since[id]))
		}
	}
	return longest
}
