// Package cwlog sets up the logger: one line of key=value pairs for each event.
package cwlog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Fields are the pairs of one event, with kebab-case keys.
type Fields = logrus.Fields

// New returns a logger that writes events of at least the given level to w.
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

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger { return New(io.Discard, logrus.PanicLevel) }
