package cwhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
)

// ClientOptions bound one client.
type ClientOptions struct {
	Timeout           time.Duration
	MaxConnsPerHost   int
	MaxConnWait       time.Duration // for a connection while all are in use; zero fails at once
	MaxResponseBytes  int
	MaxIdleConnection time.Duration
	DialTimeout       time.Duration
	Traffic           *ByteCounter // nil: not counted
	// UserTimeout ends connections whose bytes stay unacknowledged for longer; zero leaves that to the kernel.
	UserTimeout time.Duration
}

// DefaultClientOptions returns limits that suit calls inside one data centre.
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
}

// NewClient returns a client and the function that closes its idle connections.
func NewClient(opts ClientOptions) (c *Client, stop func()) {
	client := &fasthttp.Client{
		MaxConnsPerHost:     opts.MaxConnsPerHost,
		MaxConnWaitTimeout:  opts.MaxConnWait,
		MaxResponseBodySize: opts.MaxResponseBytes,
		MaxIdleConnDuration: opts.MaxIdleConnection,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
		// Orders must not be sent twice without their sender knowing.
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader: true,
		Dial:                     dialer(opts),
	}
	return &Client{client: client, timeout: opts.Timeout}, client.CloseIdleConnections
}

// dialer returns the function that connects to a host and counts the bytes of the connection.
func dialer(opts ClientOptions) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", addr, opts.DialTimeout)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok && opts.UserTimeout > 0 {
			if err := SetUserTimeout(tcp, opts.UserTimeout); err != nil {
				return nil, errors.Join(err, conn.Close())
			}
		}
		return opts.Traffic.Conn(conn), nil
	}
}

// Header is one header of a request.
type Header struct{ Name, Value string }

// RoundTrip sends one request and returns the status and body of the answer, on the caller's goroutine.
//
// A failure to connect is Unavailable; any failure after that is Indefinite, since the receiver may have acted.
func (c *Client) RoundTrip(method string, addr netip.AddrPort, path string, body []byte, timeout time.Duration, headers ...Header) (status int, answer []byte, err error) {
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

// WithToken returns a client that sends the given bearer token.
func (c *Client) WithToken(token string) *Client {
	copied := *c
	copied.token = token
	return &copied
}

// Call sends in as JSON (no body if nil) and decodes a 2xx answer into out (unless nil).
//
// An error answer becomes its typed error. A failure to connect is Unavailable; any failure after
// that is Indefinite, since the receiver may have acted.
func (c *Client) Call(ctx context.Context, method string, addr netip.AddrPort, path string, in, out any) (err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return cwfault.New(cwfault.Invalid, "encode %s: %v", path, err)
		}
	}
	status, answer, err := c.Do(ctx, method, addr, path, body)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return errorOf(status, answer)
	}
	if out == nil {
		return nil
	}
	if err = json.Unmarshal(answer, out); err != nil {
		return cwfault.New(cwfault.Indefinite, "decode the answer of %s: %v", path, err)
	}
	return nil
}

// Do sends body and returns the status and body of the answer; it returns early if ctx is cancelled.
func (c *Client) Do(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (status int, answer []byte, err error) {
	if err = ctx.Err(); err != nil {
		return 0, nil, cwfault.New(cwfault.Unavailable, "call %s: %v", path, err)
	}
	done := make(chan exchange, 1)
	go func() { done <- c.exchange(ctx, method, addr, path, body) }()
	select {
	case e := <-done:
		return e.status, e.answer, e.err
	case <-ctx.Done():
		return 0, nil, cwfault.New(cwfault.Indefinite, "call %s: %v", path, ctx.Err())
	}
}

// exchange is one request with its answer.
type exchange struct {
	status int
	answer []byte
	err    error
}

func (c *Client) exchange(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) exchange {
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
		return exchange{err: transportError(path, err)}
	}
	return exchange{status: response.StatusCode(), answer: bytes.Clone(response.Body())}
}

func (c *Client) send(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.client.DoDeadline(request, response, deadline)
	}
	return c.client.DoTimeout(request, response, c.timeout)
}

// transportError tells a call that never left from one whose effect is not known.
func transportError(path string, err error) error {
	code := cwfault.Indefinite
	if isDialError(err) {
		code = cwfault.Unavailable
	}
	return cwfault.New(code, "call %s: %v", path, err)
}

func isDialError(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return eris.As(err, &dial) || eris.Is(err, fasthttp.ErrNoFreeConns) || eris.Is(err, fasthttp.ErrDialTimeout) || isRefusedConnection(err)
}

func errorOf(status int, answer []byte) error {
	var document ErrorDocument
	if err := json.Unmarshal(answer, &document); err != nil || document.Error == "" {
		return cwfault.New(cwfault.Indefinite, "status %d without an error document", status)
	}
	return cwfault.New(document.Error, "%s", document.Message)
}
