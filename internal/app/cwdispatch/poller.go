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

// pollRetryPause is the pause after a failed poll.
const pollRetryPause = 200 * time.Millisecond

// poller reads the completions of one worker and acknowledges those that the receiver has accepted.
type poller struct {
	dispatcher        *Dispatcher
	worker            cwmodel.Worker
	epoch             cwmodel.Epoch
	inheritedAttempts attemptSet // durable attempts that a previous owner of the worker started

	mu       sync.Mutex
	acks     []cwmodel.Attempt
	retained []retainedResult // delivered, not acknowledged yet
}

// redeliveryTimeout is how long a result may stay unacknowledged before it is delivered again.
const redeliveryTimeout = 30 * time.Second

// retainedResult is a delivered result that the receiver has not acknowledged yet.
type retainedResult struct {
	attempt    cwmodel.Attempt
	retainedAt time.Time
}

func newPoller(d *Dispatcher, inventory cwport.Inventory) *poller {
	p := &poller{dispatcher: d, worker: inventory.Worker, epoch: inventory.Epoch, inheritedAttempts: attemptSet{}}
	for _, r := range inventory.Running {
		if r.Durable {
			p.inheritedAttempts[r.Attempt] = struct{}{}
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

// poll reads the completions once. It returns false if the poller must stop, such as when the worker has another owner.
func (p *poller) poll(ctx context.Context) bool {
	opts := p.dispatcher.opts
	request := p.nextPoll()
	results, err := opts.Workers.Completions(ctx, p.worker.Address, request)
	switch cwfault.CodeOf(err) {
	case "":
	case cwfault.StaleEpoch:
		opts.OnStaleEpoch(p.worker.ID, p.epoch)
		return false
	default:
		opts.Log.WithFields(logrus.Fields{"worker": p.worker.ID, "error": cwfault.MessageOf(err)}).Debug("poll-failed")
		return opts.Timer.Sleep(ctx.Done(), pollRetryPause)
	}
	p.dropAcks(request.Acks)
	for _, result := range results {
		if p.deliver(ctx, result) != nil {
			return false
		}
	}
	return true
}

func (p *poller) nextPoll() cwport.Poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dispatcher.opts.Timer.Now()
	p.retained = slices.DeleteFunc(p.retained, func(r retainedResult) bool { return now.Sub(r.retainedAt) >= redeliveryTimeout })
	poll := cwport.Poll{Epoch: p.epoch, Acks: slices.Clone(p.acks), Wait: p.dispatcher.opts.PollWait}
	for _, r := range p.retained {
		poll.Retained = append(poll.Retained, r.attempt)
	}
	return poll
}

// dropAcks drops the acknowledgements that the worker has received.
func (p *poller) dropAcks(acks []cwmodel.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acks = p.acks[len(acks):]
}

func (p *poller) deliver(ctx context.Context, result cwmodel.Result) error {
	_, isAdopted := p.inheritedAttempts[result.Attempt]
	delete(p.inheritedAttempts, result.Attempt)
	if !p.dispatcher.untrackRequestAttempt(result.Attempt) && !isAdopted && result.Attempt.Epoch != p.epoch {
		p.dispatcher.orphanCount.Add(1)
	}
	acknowledge, err := p.dispatcher.opts.HandleResult(ctx, result)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if acknowledge {
		p.acks = append(p.acks, result.Attempt)
	} else {
		p.retained = append(p.retained, retainedResult{result.Attempt, p.dispatcher.opts.Timer.Now()})
	}
	return nil
}

// acknowledge moves a retained result to the acknowledgements of the next poll.
func (p *poller) acknowledge(attempt cwmodel.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retained = slices.DeleteFunc(p.retained, func(r retainedResult) bool { return r.attempt == attempt })
	p.acks = append(p.acks, attempt)
}
