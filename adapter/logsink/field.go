package logsink

import "github.com/sirupsen/logrus"

// DaemonField is a logrus hook that puts a daemon's name on every line, so that
// the lines of many daemons can be told apart where they are gathered.
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
