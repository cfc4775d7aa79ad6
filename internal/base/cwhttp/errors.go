package cwhttp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// isConnectError reports whether err means that no connection was established: dialling failed or the peer refused the connection.
func isConnectError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// deadlineContext returns a context that expires after d and then releases its timer.
func deadlineContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}
