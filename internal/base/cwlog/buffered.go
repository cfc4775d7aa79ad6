package cwlog

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwring"
)

// bufferedLines bounds the lines that wait for a slow reader; further ones are left out and counted.
const bufferedLines = 4096

// NewBuffered returns a logger that never blocks its callers: one duty writes the lines, several in one call. Every line
// names the host. The returned function writes what waits and ends the duty.
func NewBuffered(w io.Writer, level logrus.Level, host string) (log *logrus.Logger, flush func()) {
	b := &buffer{lines: cwring.New[[]byte](bufferedLines), w: w}
	stop := cwduty.Start("log-writer", b.run)
	log = New(b, level)
	log.AddHook(hostField(host))
	return log, func() {
		stop()
		b.write(b.lines.DrainReady(nil))
	}
}

// hostField adds the host to every line.
type hostField string

// Levels returns all levels.
func (hostField) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the field.
func (h hostField) Fire(e *logrus.Entry) error {
	e.Data["host"] = string(h)
	return nil
}

// buffer hands lines to the duty that writes them.
type buffer struct {
	lines *cwring.Ring[[]byte]
	w     io.Writer
	lost  atomic.Uint64 // lines that could not be written
	told  uint64        // lines left out that the log has been told of
}

// Write takes one line; it is left out if too many wait.
func (b *buffer) Write(line []byte) (int, error) {
	b.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

func (b *buffer) run(ctx context.Context) {
	var lines [][]byte
	for {
		if lines = b.lines.Drain(ctx, lines[:0]); len(lines) == 0 {
			return
		}
		b.write(lines)
	}
}

// write writes lines in one call, and how many were left out before them.
func (b *buffer) write(lines [][]byte) {
	var out []byte
	for _, line := range lines {
		out = append(out, line...)
	}
	if left := b.lines.Rejected() + b.lost.Load(); left > b.told {
		out = append(out, "level=warning msg=log-lines-left-out lines="+strconv.FormatUint(left-b.told, 10)+"\n"...)
		b.told = left
	}
	if len(out) == 0 {
		return
	}
	if _, err := b.w.Write(out); err != nil {
		b.lost.Add(uint64(len(lines)))
	}
}
