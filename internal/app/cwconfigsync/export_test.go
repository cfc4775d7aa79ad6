package cwconfigsync

import "context"

// NewIdle returns a Watcher without its duty, for tests that call Step.
func NewIdle(opts Options) *Watcher { return newWatcher(opts) }

// Step handles all events in the inbox.
func (w *Watcher) Step(ctx context.Context) {
	for _, e := range w.inbox.DrainReady(nil) {
		w.handle(ctx, e)
	}
}
