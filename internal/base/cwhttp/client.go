package cwhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
)

// ClientOptions configure a client.
type ClientOptions struct {
	Timeout           time.Duration // of a call whose context has no deadline
	MaxConnsPerHost   int
	MaxConnWait       time.Duration // wait for a free connection; zero: a call without one fails at once
	MaxResponseBytes  int
	MaxIdleConnection time.Duration // after which an idle connection is closed
	DialTimeout       time.Duration
	Traffic           *ByteCounter // counts the bytes of all connections; nil: not counted
	// StallTimeout makes the timeout of a call bound only the wait for the first byte of its response, and is the longest pause after
	// it. Zero: the timeout of a call bounds the whole response.
	StallTimeout time.Duration
	// UserTimeout closes connections whose sent data stays unacknowledged for longer; zero selects the kernel's default.
	UserTimeout time.Duration
}

// DefaultClientOptions returns limits for calls within a data centre.
func DefaultClientOptions() ClientOptions {
	return ClientOptions{
		Timeout:           2 * time.Second,
		MaxConnsPerHost:   60,
		MaxResponseBytes:  16 << 20,
		MaxIdleConnection: 30 * time.Second,
		DialTimeout:       time.Second,
	}
}

// Client calls JSON endpoints.
type Client struct {
	client  *fasthttp.Client
	timeout time.Duration
	token   string
	rate    *receiveRate
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient(opts ClientOptions) (c *Client, stop func()) {
	rate := &receiveRate{}
	client := &fasthttp.Client{
		MaxConnsPerHost:     opts.MaxConnsPerHost,
		MaxConnWaitTimeout:  opts.MaxConnWait,
		MaxResponseBodySize: opts.MaxResponseBytes,
		MaxIdleConnDuration: opts.MaxIdleConnection,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
		// No retries: a request must not be sent twice without the knowledge of its sender.
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader: true,
		Dial:                     dialer(opts, rate),
	}
	return &Client{client: client, timeout: opts.Timeout, rate: rate}, client.CloseIdleConnections
}

// ReceiveRate returns at how many bytes per second the latest large response arrived; 0 before there was one.
func (c *Client) ReceiveRate() float64 { return c.rate.load() }

// dialer returns a function that connects to a host and counts the bytes of the connection. The connections record their rate, and those that
// turn out to be dead with another one are dialed anew.
func dialer(opts ClientOptions, rate *receiveRate) fasthttp.DialFunc {
	var known endpoints
	return func(addr string) (net.Conn, error) {
		e := known.at(addr)
		conn, ends, err := e.dial(opts, opts.DialTimeout)
		if err != nil {
			return nil, err
		}
		return &responseConn{Conn: opts.Traffic.Conn(conn), stallTimeout: opts.StallTimeout, rate: rate, endpoint: e, ends: ends, opts: opts}, nil
	}
}

// Header is a request header.
type Header struct{ Name, Value string }

// RoundTrip sends a request on the caller's goroutine and returns the status and body of the response. Unlike Do it takes a timeout in place of a
// context, and it does not send the client's token.
//
// A failure to connect is Unavailable; any later failure is Indefinite, since the receiver may have acted.
func (c *Client) RoundTrip(method string, addr netip.AddrPort, path string, body []byte, timeout time.Duration, headers ...Header) (status int, responseBody []byte, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr.String() + path)
	for _, h := range headers {
		request.Header.Set(h.Name, h.Value)
		request.UseHostHeader = request.UseHostHeader || h.Name == fasthttp.HeaderHost
	}
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := c.client.DoTimeout(request, response, timeout); err != nil {
		return 0, nil, transportError(path, err)
	}
	return response.StatusCode(), bytes.Clone(response.Body()), nil
}

// WithToken returns a copy of the client, on the same connections, that sends the given bearer token; "" sends none.
func (c *Client) WithToken(token string) *Client {
	copied := *c
	copied.token = token
	return &copied
}

// Call sends in as JSON, without a body if in is nil, and decodes a 2xx response into out unless out is nil.
//
// An error response is returned as a cwfault.Error. A failure to connect is Unavailable; any later
// failure is Indefinite, since the receiver may have acted.
func (c *Client) Call(ctx context.Context, method string, addr netip.AddrPort, path string, in, out any) (err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return cwfault.New(cwfault.Invalid, "encode %s: %v", path, err)
		}
	}
	status, response, err := c.Do(ctx, method, addr, path, body)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return decodeErrorResponse(status, response)
	}
	if out == nil {
		return nil
	}
	if err = json.Unmarshal(response, out); err != nil {
		return cwfault.New(cwfault.Indefinite, "decode the answer of %s: %v", path, err)
	}
	return nil
}

// Do sends body and returns the status and body of the response. If ctx ends first, it returns an Indefinite error at once,
// while the request may continue.
func (c *Client) Do(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (status int, response []byte, err error) {
	if err = ctx.Err(); err != nil {
		return 0, nil, cwfault.New(cwfault.Unavailable, "call %s: %v", path, err)
	}
	done := make(chan callResult, 1)
	go func() { done <- c.roundTrip(ctx, method, addr, path, body) }()
	select {
	case r := <-done:
		return r.status, r.body, r.err
	case <-ctx.Done():
		return 0, nil, cwfault.New(cwfault.Indefinite, "call %s: %v", path, ctx.Err())
	}
}

// callResult is the result of a request.
type callResult struct {
	status int
	body   []byte
	err    error
}

// roundTrip sends a request with the client's token, if there is one, and returns once the response has arrived or the deadline of ctx, or else the
// client's timeout, has passed.
func (c *Client) roundTrip(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) callResult {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr.String() + path)
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := c.send(ctx, request, response); err != nil {
		return callResult{err: transportError(path, err)}
	}
	return callResult{status: response.StatusCode(), body: bytes.Clone(response.Body())}
}

// send sends a request with the deadline of ctx, or else with the client's timeout.
func (c *Client) send(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.client.DoDeadline(request, response, deadline)
	}
	return c.client.DoTimeout(request, response, c.timeout)
}

// transportError returns Unavailable for a request that was never sent, and Indefinite for one whose effect is unknown.
func transportError(path string, err error) error {
	code := cwfault.Indefinite
	if isDialError(err) {
		code = cwfault.Unavailable
	}
	return &cwfault.Error{Code: code, Message: fmt.Sprintf("call %s: %v", path, err), Disconnected: isEnd(err) || eris.Is(err, fasthttp.ErrConnectionClosed)}
}

// isDialError reports whether err means that the request was never sent.
func isDialError(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return eris.As(err, &dial) || eris.Is(err, fasthttp.ErrNoFreeConns) || eris.Is(err, fasthttp.ErrDialTimeout) || isConnectError(err)
}

// decodeErrorResponse returns the error in a response with a status other than 2xx.
func decodeErrorResponse(status int, response []byte) error {
	var document ErrorDocument
	if err := json.Unmarshal(response, &document); err != nil || document.Error == "" {
		return cwfault.New(cwfault.Indefinite, "status %d without an error document", status)
	}
	return cwfault.New(document.Error, "%s", document.Message)
}
