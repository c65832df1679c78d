package logsink

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes lines in the format that core/joblog
// reads: JSON with times in RFC 3339 and nanoseconds.
func NewLogger(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}
