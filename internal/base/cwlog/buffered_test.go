package cwlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// stalledWriter blocks writes until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

// Write blocks until the writer is released.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestStalledWriterDropsLinesWithoutBlocking guards against callers that block on a slow log writer, and against dropped
// lines that are not reported in the log.
func TestStalledWriterDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	w := &stalledWriter{release: make(chan struct{})}
	log, flush := NewBuffered(w, logrus.InfoLevel, "host-a")
	const lines = 3 * maxBufferedLines
	for range lines {
		log.WithField("job", "j").Info("job-submitted")
	}
	close(w.release)
	flush()
	text := w.out.String()
	is.True(strings.Count(text, "msg=job-submitted") < lines)
	is.True(strings.Contains(text, "host=host-a"))
	is.True(strings.Contains(text, "msg=log-lines-left-out"))
}
