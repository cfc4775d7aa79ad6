// Package cwduty runs the named duties of a process, each on its own goroutine.
package cwduty

import (
	"context"
	"sync"
)

// Start runs a duty on its own goroutine. The returned function cancels the duty's context and waits for the duty to end.
func Start(name string, run func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		running.add(name)
		defer running.remove(name)
		run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// Cleanup collects clean-up functions and calls them in reverse order.
type Cleanup struct {
	mu    sync.Mutex
	calls []func()
}

// Add appends a clean-up function.
func (c *Cleanup) Add(call func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// Run calls each function once, the last added first.
func (c *Cleanup) Run() {
	c.mu.Lock()
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	for n := len(calls) - 1; n >= 0; n-- {
		calls[n]()
	}
}

// registry counts running duties by name.
type registry struct {
	mu    sync.Mutex
	names map[string]int
}

// running counts the duties of this process.
var running = registry{names: map[string]int{}}

// add counts a duty that starts.
func (r *registry) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names[name]++
}

// remove counts a duty that has ended.
func (r *registry) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names[name]--; r.names[name] == 0 {
		delete(r.names, name)
	}
}

// Running returns the number of running duties of this process by name.
func Running() map[string]int {
	running.mu.Lock()
	defer running.mu.Unlock()
	names := make(map[string]int, len(running.names))
	for name, n := range running.names {
		names[name] = n
	}
	return names
}

// Concurrent returns a function that calls all given functions concurrently and waits until they have returned.
func Concurrent(calls []func()) func() {
	return func() {
		var ended sync.WaitGroup
		for _, call := range calls {
			ended.Go(call)
		}
		ended.Wait()
	}
}
