package cwlink

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/core/cwmodel"
)

// retryDelay is the pause after a poll that failed.
const retryDelay = 200 * time.Millisecond

// heldPause bounds the pause between polls while every result at the worker waits for its acknowledgement.
const heldPause = 50 * time.Millisecond

// heldLimit is how long a durable result may wait for its acknowledgement before it is handed over again.
const heldLimit = 30 * time.Second

// poller reads the completions of one worker and acknowledges what was handed over.
//
// The result of a durable task stays at the worker until its receiver acknowledges it.
type poller struct {
	opts    Options
	worker  cwmodel.Worker
	epoch   cwmodel.Epoch
	acks    []cwmodel.Attempt
	held    map[cwmodel.Attempt]time.Time // durable results, by when they were handed over
	written *cwring.Ring[cwmodel.Attempt] // durable results that may be dropped
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
	fresh := 0
	for _, result := range results {
		if p.isHeld(result.Attempt) {
			continue
		}
		if p.opts.Ended(ctx, result) != nil {
			return false
		}
		fresh++
		if p.opts.IsDurable(result.Attempt.Task) {
			p.held[result.Attempt] = p.opts.Timer.Now()
		} else {
			p.acks = append(p.acks, result.Attempt)
		}
	}
	p.takeWritten(ctx, fresh == 0 && len(results) > 0)
	return true
}

func (p *poller) isHeld(a cwmodel.Attempt) bool {
	since, ok := p.held[a]
	return ok && p.opts.Timer.Now().Sub(since) < heldLimit
}

// takeWritten collects the durable results to acknowledge, and waits for the first one if there is nothing else to do.
func (p *poller) takeWritten(ctx context.Context, wait bool) {
	first := len(p.acks)
	if wait {
		ctx, cancel := context.WithTimeout(ctx, heldPause)
		defer cancel()
		p.acks = p.written.Drain(ctx, p.acks)
	} else {
		p.acks = p.written.Ready(p.acks)
	}
	for _, a := range p.acks[first:] {
		delete(p.held, a)
	}
}
