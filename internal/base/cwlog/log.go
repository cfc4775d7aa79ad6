// Package cwlog configures the logger, which writes one line of key=value pairs per event.
package cwlog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Fields are the key-value pairs of an event; keys are in kebab case.
type Fields = logrus.Fields

// New returns a logger that writes events of the given level and above to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return log
}

// Discard returns a logger that drops all events.
func Discard() *logrus.Logger { return New(io.Discard, logrus.PanicLevel) }
