package cwdispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// retryDelay is the pause after a poll that failed.
const retryDelay = 200 * time.Millisecond

// poller reads the completions of one worker and acknowledges what was handed over for good.
type poller struct {
	links   *Dispatcher
	worker  cwmodel.Worker
	epoch   cwmodel.Epoch
	adopted attempts // of jobs that an earlier owner began

	mu   sync.Mutex
	acks []cwmodel.Attempt
	held []heldResult // handed over, to be acknowledged later
}

// heldLimit is how long a result may wait for its acknowledgement before it is handed over again.
const heldLimit = 30 * time.Second

// heldResult is a result that its receiver has not acknowledged yet.
type heldResult struct {
	attempt cwmodel.Attempt
	since   time.Time
}

func newPoller(l *Dispatcher, inventory cwport.Inventory) *poller {
	p := &poller{links: l, worker: inventory.Worker, epoch: inventory.Epoch, adopted: attempts{}}
	for _, r := range inventory.Running {
		if r.Durable {
			p.adopted[r.Attempt] = struct{}{}
		}
	}
	return p
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
	opts := p.links.opts
	request := p.request()
	results, err := opts.Workers.Completions(ctx, p.worker.Address, request)
	switch cwfault.CodeOf(err) {
	case "":
	case cwfault.StaleEpoch:
		opts.OnStaleEpoch(p.worker.ID, p.epoch)
		return false
	default:
		opts.Log.WithFields(logrus.Fields{"worker": p.worker.ID, "error": cwfault.MessageOf(err)}).Debug("poll-failed")
		return opts.Timer.Sleep(ctx.Done(), retryDelay)
	}
	p.forget(request.Acks)
	for _, result := range results {
		if p.handOver(ctx, result) != nil {
			return false
		}
	}
	return true
}

func (p *poller) request() cwport.Poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.links.opts.Timer.Now()
	p.held = slices.DeleteFunc(p.held, func(h heldResult) bool { return now.Sub(h.since) >= heldLimit })
	poll := cwport.Poll{Epoch: p.epoch, Acks: slices.Clone(p.acks), Wait: p.links.opts.PollWait}
	for _, h := range p.held {
		poll.Retained = append(poll.Retained, h.attempt)
	}
	return poll
}

// forget drops acknowledgements that the worker has taken.
func (p *poller) forget(acks []cwmodel.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acks = p.acks[len(acks):]
}

func (p *poller) handOver(ctx context.Context, result cwmodel.Result) error {
	_, isAdopted := p.adopted[result.Attempt]
	delete(p.adopted, result.Attempt)
	if !p.links.noteEnded(result.Attempt) && !isAdopted && result.Attempt.Epoch != p.epoch {
		p.links.orphans.Add(1)
	}
	acknowledge, err := p.links.opts.HandleResult(ctx, result)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if acknowledge {
		p.acks = append(p.acks, result.Attempt)
	} else {
		p.held = append(p.held, heldResult{result.Attempt, p.links.opts.Timer.Now()})
	}
	return nil
}

// acknowledge lets go of a result that was held.
func (p *poller) acknowledge(attempt cwmodel.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = slices.DeleteFunc(p.held, func(h heldResult) bool { return h.attempt == attempt })
	p.acks = append(p.acks, attempt)
}
