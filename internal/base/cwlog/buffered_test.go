package cwlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

// Write blocks until the reader is released.
func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestStalledReaderCostsLinesAndNoTime holds that callers of the log never wait for its reader, and that the lines which
// were left out are counted in it.
func TestStalledReaderCostsLinesAndNoTime(t *testing.T) {
	is := is.New(t)
	w := &stalled{release: make(chan struct{})}
	log, flush := NewBuffered(w, logrus.InfoLevel, "host-a")
	const lines = 3 * bufferedLines
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
