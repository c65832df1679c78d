package logsink

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes lines as core/joblog reads them.
func NewLogger(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}
