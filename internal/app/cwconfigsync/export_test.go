package cwconfigsync

import "context"

// NewIdle returns a watcher without its duty, for tests that take its steps themselves.
func NewIdle(opts Options) *Watcher { return newWatcher(opts) }

// Step handles everything in the inbox.
func (w *Watcher) Step(ctx context.Context) {
	for _, e := range w.inbox.DrainReady(nil) {
		w.handle(ctx, e)
	}
}
