package logsink

import "github.com/sirupsen/logrus"

// DaemonField is a logrus hook that adds a daemon's name to every line, so that a
// collector can distinguish the lines of many daemons.
type DaemonField string

// Levels implements logrus.Hook.
func (DaemonField) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (f DaemonField) Fire(e *logrus.Entry) error {
	if _, set := e.Data["daemon"]; !set {
		e.Data["daemon"] = string(f)
	}
	return nil
}
