package cwlink

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// retryDelay is the pause after a poll that failed.
const retryDelay = 200 * time.Millisecond

// poller reads the completions of one worker and acknowledges what was handed over.
type poller struct {
	opts   Options
	worker cwmodel.Worker
	epoch  cwmodel.Epoch
	acks   []cwmodel.Attempt
}

func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.poll(ctx) {
			return
		}
	}
}

// poll reads once and returns false if this worker has another owner.
func (p *poller) poll(ctx context.Context) bool {
	results, err := p.opts.Workers.Completions(ctx, p.worker.Address, p.epoch, p.acks, p.opts.PollWait)
	switch cwfault.CodeOf(err) {
	case "":
	case cwfault.StaleEpoch:
		p.opts.Stale(p.worker.ID, p.epoch)
		return false
	default:
		p.opts.Log.WithFields(logrus.Fields{"worker": p.worker.ID, "error": cwfault.MessageOf(err)}).Debug("poll-failed")
		return p.opts.Timer.Sleep(ctx.Done(), retryDelay)
	}
	p.acks = p.acks[:0]
	for _, result := range results {
		if p.opts.Ended(ctx, result) != nil {
			return false
		}
		p.acks = append(p.acks, result.Attempt)
	}
	return true
}
