// Package cwhttp provides the HTTP server and client shared by the listeners and adapters of the system.
package cwhttp

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"currantward/internal/base/cwfault"
)

// ServerOptions configure a listener.
type ServerOptions struct {
	Name            string
	MaxBodyBytes    int
	MaxHeaderBytes  int
	MaxConnections  int
	ReadTimeout     time.Duration
	IdleTimeout     time.Duration
	ShutdownTimeout time.Duration
	Log             *logrus.Logger
	Traffic         *ByteCounter // counts the bytes of all connections; nil: not counted

	// OnResponse is called with the status of each response; it may be nil.
	OnResponse func(status int)
}

// DefaultServerOptions returns limits for a listener for callers.
func DefaultServerOptions(name string, log *logrus.Logger) ServerOptions {
	return ServerOptions{
		Name:            name,
		MaxBodyBytes:    1 << 20,
		MaxHeaderBytes:  8 << 10,
		MaxConnections:  4096,
		ReadTimeout:     10 * time.Second,
		IdleTimeout:     60 * time.Second,
		ShutdownTimeout: 10 * time.Second,
		Log:             log,
	}
}

// Serve listens on addr and returns the bound address and a function that shuts the listener down gracefully.
func Serve(addr netip.AddrPort, handle fasthttp.RequestHandler, opts ServerOptions) (bound netip.AddrPort, stop func(), err error) {
	defer func() { err = eris.Wrapf(err, "serve %s on %s", opts.Name, addr) }()
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return bound, nil, err
	}
	bound = BoundAddress(listener)
	server := &fasthttp.Server{
		Handler:               opts.withOnResponse(limitBody(handle, opts.MaxBodyBytes)),
		ErrorHandler:          opts.handleError,
		Name:                  opts.Name,
		MaxRequestBodySize:    opts.MaxBodyBytes * readableExcess,
		ReadBufferSize:        opts.MaxHeaderBytes,
		Concurrency:           opts.MaxConnections,
		ReadTimeout:           opts.ReadTimeout,
		IdleTimeout:           opts.IdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                opts.Log,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.Serve(lingeringListener{opts.Traffic.Listener(listener)}); err != nil {
			opts.Log.WithFields(logrus.Fields{"listener": opts.Name, "error": err.Error()}).Error("listener-failed")
		}
	}()
	stop = func() {
		_ = server.ShutdownWithContext(deadlineContext(opts.ShutdownTimeout))
		_ = listener.Close()
		<-ended
	}
	return bound, stop, nil
}

// withOnResponse wraps handle so that the status of each response is passed to OnResponse, if that is set.
func (o ServerOptions) withOnResponse(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	if o.OnResponse == nil {
		return handle
	}
	return func(ctx *fasthttp.RequestCtx) {
		handle(ctx)
		o.OnResponse(ctx.Response.StatusCode())
	}
}

// handleError responds to a request that could not be read and lets the connection linger, so that the response arrives.
func (o ServerOptions) handleError(ctx *fasthttp.RequestCtx, err error) {
	rejectRequest(ctx, err)
	if conn, ok := ctx.Conn().(*lingeringConn); ok {
		conn.linger = true
	}
	if o.OnResponse != nil {
		o.OnResponse(ctx.Response.StatusCode())
	}
}

// readableExcess is the factor by which a body may exceed its limit and still be read, so that its sender receives the error
// response.
const readableExcess = 8

// limitBody wraps handle so that requests with a body above the limit, in bytes, get a TooLarge error instead.
func limitBody(handle fasthttp.RequestHandler, limit int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if n := len(ctx.PostBody()); n > limit {
			WriteError(ctx, cwfault.New(cwfault.TooLarge, "the body has %d bytes, above the limit of %d", n, limit))
			return
		}
		handle(ctx)
	}
}

// BoundAddress returns the address that a TCP listener is bound to.
func BoundAddress(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

// rejectRequest responds to a request that could not be read: too large, too slow or malformed.
func rejectRequest(ctx *fasthttp.RequestCtx, err error) {
	code := cwfault.Invalid
	if eris.Is(err, fasthttp.ErrBodyTooLarge) {
		code = cwfault.TooLarge
	}
	var headerErr *fasthttp.ErrSmallBuffer
	if eris.As(err, &headerErr) {
		code = cwfault.TooLarge
	}
	WriteError(ctx, cwfault.New(code, "cannot read the request: %v", err))
}

// ErrorDocument is the body of every error response.
type ErrorDocument struct {
	Error   cwfault.Code `json:"error"`
	Message string       `json:"message"`
}

// WriteJSON responds with a JSON document.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		WriteError(ctx, cwfault.New(cwfault.Internal, "encode the answer: %v", err))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// WriteError responds with the code and message of err and the matching status.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	document := ErrorDocument{Error: cwfault.CodeOf(err), Message: cwfault.MessageOf(err)}
	body, _ := json.Marshal(document)
	ctx.SetStatusCode(StatusOf(document.Error))
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// statuses maps each error code to its HTTP status.
var statuses = []struct {
	code   cwfault.Code
	status int
}{
	{cwfault.Invalid, fasthttp.StatusBadRequest},
	{cwfault.Unauthorized, fasthttp.StatusUnauthorized},
	{cwfault.NotFound, fasthttp.StatusNotFound},
	{cwfault.Conflict, fasthttp.StatusConflict},
	{cwfault.TooLarge, fasthttp.StatusRequestEntityTooLarge},
	{cwfault.Refused, fasthttp.StatusUnprocessableEntity},
	{cwfault.StaleEpoch, fasthttp.StatusPreconditionFailed},
	{cwfault.Unavailable, fasthttp.StatusServiceUnavailable},
	{cwfault.Indefinite, fasthttp.StatusGatewayTimeout},
	{cwfault.NotSupported, fasthttp.StatusMethodNotAllowed},
}

// StatusOf returns the HTTP status for an error code, and 500 for one that is not in statuses, such as Internal.
func StatusOf(code cwfault.Code) int {
	for _, row := range statuses {
		if row.code == code {
			return row.status
		}
	}
	return fasthttp.StatusInternalServerError
}
