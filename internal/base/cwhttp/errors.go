package cwhttp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// isRefusedConnection reports whether err says that no connection was made.
func isRefusedConnection(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// deadlineContext returns a context that ends after d and frees its timer then.
func deadlineContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}
