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

// maxBufferedLines is the number of lines that may wait for a slow writer; further lines are dropped and counted.
const maxBufferedLines = 4096

// NewBuffered returns a logger that never blocks its callers: a duty writes the lines in batches, and while maxBufferedLines
// lines wait, further lines are dropped. The log then contains the number of dropped lines. Every line has a host field. flush
// ends the duty and writes the waiting lines.
func NewBuffered(w io.Writer, level logrus.Level, host string) (log *logrus.Logger, flush func()) {
	b := &buffer{lines: cwring.New[[]byte](maxBufferedLines), w: w}
	stop := cwduty.Start("log-writer", b.run)
	log = New(b, level)
	log.AddHook(hostField(host))
	return log, func() {
		stop()
		b.write(b.lines.DrainReady(nil))
	}
}

// hostField is a logrus hook that adds the host to every line.
type hostField string

// Levels returns all levels, so that the hook is called for every line.
func (hostField) Levels() []logrus.Level { return logrus.AllLevels }

// Fire is called by logrus for each entry and adds the field to it.
func (h hostField) Fire(e *logrus.Entry) error {
	e.Data["host"] = string(h)
	return nil
}

// buffer queues lines for the duty that writes them.
type buffer struct {
	lines             *cwring.Ring[[]byte]
	w                 io.Writer
	linesLostInWrites atomic.Uint64 // by failed writes
	reportedLosses    uint64        // lost lines already reported in the log, from both causes
}

// Write queues a line, or drops it if maxBufferedLines lines wait. It never fails.
func (b *buffer) Write(line []byte) (int, error) {
	b.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// run writes queued lines in batches until ctx ends.
func (b *buffer) run(ctx context.Context) {
	var lines [][]byte
	for {
		if lines = b.lines.Drain(ctx, lines[:0]); len(lines) == 0 {
			return
		}
		b.write(lines)
	}
}

// write writes lines in one call. If further lines were lost since the last report, because the ring was full or a write failed, it appends a line
// with their number. A failed write loses all its lines.
func (b *buffer) write(lines [][]byte) {
	var out []byte
	for _, line := range lines {
		out = append(out, line...)
	}
	if lost := b.lines.Rejected() + b.linesLostInWrites.Load(); lost > b.reportedLosses {
		out = append(out, "level=warning msg=log-lines-left-out lines="+strconv.FormatUint(lost-b.reportedLosses, 10)+"\n"...)
		b.reportedLosses = lost
	}
	if len(out) == 0 {
		return
	}
	if _, err := b.w.Write(out); err != nil {
		b.linesLostInWrites.Add(uint64(len(lines)))
	}
}
