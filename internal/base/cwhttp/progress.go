package cwhttp

import (
	"fmt"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/base/cwtimer"
)

// responseConn is a client's connection that bounds the pauses within a response rather than its whole transfer, so that a response of
// any size arrives over any link that makes progress. Its reads and writes do not overlap.
type responseConn struct {
	net.Conn
	stallTimeout time.Duration // longest pause within a response; zero: the deadlines of the caller bound the whole response
	requestedAt  time.Time     // of the last write
	received     int64         // bytes since then
	firstReadAt  time.Time     // when the first of these arrived
	rate         *receiveRate  // of all connections of the client

	endpoint      *endpoint // that it was dialed to; nil: it is never dialed anew
	ends          int64     // of the endpoint when it was dialed
	opts          ClientOptions
	writeDeadline time.Time
}

// minRateSample is the size from which a response counts as large, so that its rate is that of the link.
const minRateSample = 128 << 10

// receiveRate is the rate at which the latest large response arrived, in bytes per second.
type receiveRate struct{ bits atomic.Uint64 }

func (r *receiveRate) load() float64 { return math.Float64frombits(r.bits.Load()) }

func (r *receiveRate) store(bytesPerSecond float64) { r.bits.Store(math.Float64bits(bytesPerSecond)) }

// Write sends a part of a request. A connection that has carried a response, and is known to be dead since, is dialed anew for the next request.
func (c *responseConn) Write(buf []byte) (n int, err error) {
	if c.received > 0 {
		if err = c.renewIfDead(); err != nil {
			return 0, err
		}
	}
	c.requestedAt, c.received = cwtimer.RuntimeTime(), 0
	n, err = c.Conn.Write(buf)
	c.recordEnd(err)
	return n, err
}

// recordEnd records at the endpoint that the other side has ended the connection, if that is what the error says.
func (c *responseConn) recordEnd(err error) {
	if err != nil && c.endpoint != nil {
		c.endpoint.record(err, c.ends)
	}
}

// Read receives a part of a response. The caller's read deadline holds until its first byte. The error of a timeout states how much of
// the response has arrived.
func (c *responseConn) Read(buf []byte) (n int, err error) {
	if c.received > 0 && c.stallTimeout > 0 {
		if err = c.SetReadDeadline(cwtimer.RuntimeTime().Add(c.stallTimeout)); err != nil {
			return 0, err
		}
	}
	n, err = c.Conn.Read(buf)
	c.recordEnd(err)
	if c.received == 0 {
		c.firstReadAt = cwtimer.RuntimeTime()
	}
	if c.received += int64(n); c.received >= minRateSample {
		c.rate.store(float64(c.received) / max(time.Since(c.firstReadAt), time.Microsecond).Seconds())
	}
	if eris.Is(err, os.ErrDeadlineExceeded) {
		err = &incompleteError{cause: err, received: c.received, elapsed: time.Since(c.requestedAt)}
	}
	return n, err
}

// incompleteError is the error of a response that did not arrive in time.
type incompleteError struct {
	cause    error
	received int64         // bytes, with those of the header
	elapsed  time.Duration // since the request was sent
}

// Error returns the cause and how much of the response has arrived.
func (e *incompleteError) Error() string {
	return fmt.Sprintf("%v with %d bytes received in %s", e.cause, e.received, e.elapsed.Round(time.Millisecond))
}

// Unwrap returns the cause.
func (e *incompleteError) Unwrap() error { return e.cause }
