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

// poller reads the results of one worker under one epoch, passes them to HandleResult and acknowledges those that were accepted.
type poller struct {
	dispatcher        *Dispatcher
	worker            cwmodel.Worker
	epoch             cwmodel.Epoch
	inheritedAttempts attemptSet // durable attempts that a previous owner of the worker started

	mu       sync.Mutex
	acks     []cwmodel.Attempt
	retained []retainedResult // delivered; the worker must neither drop them nor send them again yet
}

// redeliveryTimeout is how long a delivered result may stay without Acknowledge before the worker is asked for it again.
const redeliveryTimeout = 30 * time.Second

// retainedResult is a delivered result for which Acknowledge was not called yet.
type retainedResult struct {
	attempt    cwmodel.Attempt
	retainedAt time.Time
}

// newPoller returns the poller for a claimed worker. The durable attempts that already run on it were started by a previous owner: they are
// recorded as inherited, so that their results do not count as orphaned.
func newPoller(d *Dispatcher, inventory cwport.Inventory) *poller {
	p := &poller{dispatcher: d, worker: inventory.Worker, epoch: inventory.Epoch, inheritedAttempts: attemptSet{}}
	for _, r := range inventory.Running {
		if r.Durable {
			p.inheritedAttempts[r.Attempt] = struct{}{}
		}
	}
	return p
}

// run polls until the poller must stop.
func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.poll(ctx) {
			return
		}
	}
}

// poll reads the results once and pauses after a failure. It returns false if the poller must stop, because the worker has another owner
// or the poller was cancelled.
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

// nextPoll returns the next request: the acknowledgements to send, and the retained results that the worker need not send again. A result
// that is retained for redeliveryTimeout is left out, so that the worker sends it again.
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

// dropAcks drops the acknowledgements that the worker has received, which are the first ones in the list.
func (p *poller) dropAcks(acks []cwmodel.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acks = p.acks[len(acks):]
}

// deliver passes one result to HandleResult, and then lists it as acknowledged or as retained for the next poll.
//
// It counts a result as orphaned if it is of an earlier epoch and of neither a tracked request nor an inherited durable attempt.
func (p *poller) deliver(ctx context.Context, result cwmodel.Result) error {
	_, isInherited := p.inheritedAttempts[result.Attempt]
	delete(p.inheritedAttempts, result.Attempt)
	if !p.dispatcher.untrackRequestAttempt(result.Attempt) && !isInherited && result.Attempt.Epoch != p.epoch {
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
