// Package listener serves HTTP on a TCP address and drains without losing a request that a caller has sent.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/telemetry"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

// Error is the class of errors of this package.
var Error = errs.Class("listener")

const (
	// headerTimeout bounds how long a caller may take to send a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which idle connections are closed unless SetIdleLimit sets a shorter limit.
	idleTimeout = 2 * time.Minute
	// idleCheckInterval is the poll interval for idle connections. A connection may exceed the limit by this time, which is acceptable
	// because limits are in seconds.
	idleCheckInterval = time.Second
	// drainPollInterval is the poll interval for the open connections of a draining listener. It delays a stop by at most this time.
	drainPollInterval = 5 * time.Millisecond
)

// Options configures a Listener.
type Options struct {
	// Name is the settings key of the address, for errors and logs.
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// MayRunConcurrently reports whether a pipelined request may run before the previous requests of its connection are completed. Such
	// a request may be repeated, and its caller may disconnect without its response. If MayRunConcurrently is nil, requests run one
	// after the other. Responses are always sent in the order of the requests.
	MayRunConcurrently func(r *http.Request) bool
	// MaxConnections bounds the open connections; 0 means no limit.
	MaxConnections int
	// MaxReadAheadBytes bounds the bytes of pipelined requests that are held on all connections together, apart from the first 4 KB of each;
	// 0 means that only the bound of each connection applies.
	MaxReadAheadBytes int64
	// MaxHeaderBytes bounds a request header; 0 means the default of net/http, 1 MiB.
	MaxHeaderBytes int
	Log            zerolog.Logger
}

// Listener is an HTTP server with its listening socket.
type Listener struct {
	name        string
	server      *http.Server
	netListener net.Listener
	conns       *connections
	// closing is true once responses carry "Connection: close".
	closing atomic.Bool
	// idleLimit is the time.Duration after which an idle connection is closed, 0 for idleTimeout.
	idleLimit atomic.Int64
	// serveDone is closed when no more connections are accepted.
	serveDone chan struct{}
}

// Listen binds an address. Serve accepts its connections.
func Listen(o Options) (*Listener, error) {
	bound, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, Error.New("%s: %v", o.Name, err)
	}
	return newListener(o, newBacklogListener(bound.(*net.TCPListener), o.MaxConnections, o.Log)), nil
}

func newListener(o Options, netListener net.Listener) *Listener {
	l := &Listener{name: o.Name, netListener: netListener, conns: &connections{open: map[*trackedConn]struct{}{}, maxReadAheadBytes: o.MaxReadAheadBytes, log: o.Log}, serveDone: make(chan struct{})}
	if o.MayRunConcurrently != nil {
		l.conns.runner = &pipelineRunner{mayRun: o.MayRunConcurrently, handler: o.Handler, log: o.Log}
	}
	l.server = &http.Server{
		Handler: l.trackRequests(rejectWithoutLength(o.Handler)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ErrorLog: telemetry.HTTPErrorLog(o.Log), ConnState: l.conns.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return l
}

// Name returns the settings key of the address.
func (l *Listener) Name() string { return l.name }

// Address returns the bound address. If the settings have port 0, it has the port that the kernel chose.
func (l *Listener) Address() netip.AddrPort { return l.netListener.Addr().(*net.TCPAddr).AddrPort() }

// connKey is the context key of a request's trackedConn.
type connKey struct{}

// trackRequests wraps a handler to record the requests of each connection. If the listener is closing, the last response of each
// connection carries "Connection: close".
func (l *Listener) trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(connKey{}).(*trackedConn)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		pipelined, ok := conn.beginRequest(r, cancel)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		defer conn.completeRequest()
		closing := &closingWriter{ResponseWriter: w, conn: conn, closing: &l.closing}
		if pipelined != nil {
			pipelined.writeResponse(ctx, closing)
		} else {
			handler.ServeHTTP(closing, r.WithContext(withReceivedAt(ctx, conn.currentReceivedAt())))
		}
		closing.decide()
	})
}

// AnnounceClose makes each further response close its connection, unless a further request was received on it by then. New connections
// are still accepted.
func (l *Listener) AnnounceClose() { l.closing.Store(true) }

// SetIdleLimit sets the time after which idle connections are closed.
func (l *Listener) SetIdleLimit(limit time.Duration) { l.idleLimit.Store(int64(limit)) }

// enforceIdleLimit closes connections that exceed the idle limit, until the listener closes.
func (l *Listener) enforceIdleLimit() {
	ticks := time.NewTicker(idleCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-l.serveDone:
			return
		case <-ticks.C:
		}
		if limit := time.Duration(l.idleLimit.Load()); limit > 0 {
			l.conns.closeIdle(limit)
		}
	}
}

// Serve accepts connections until the listener closes. It returns nil after Drain and Close.
func (l *Listener) Serve() error {
	defer close(l.serveDone)
	go l.enforceIdleLimit()
	err := l.server.Serve(l.netListener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Drain stops accepting connections, closes idle ones and serves requests on the others until all are closed or ctx ends. Once
// Shutdown is called, net/http drops the requests that it reads, so Drain calls Shutdown last. Serve must have been called.
func (l *Listener) Drain(ctx context.Context) error {
	l.AnnounceClose()
	closeErr := l.netListener.Close()
	select {
	case <-l.serveDone:
	case <-ctx.Done():
	}
	for l.conns.closeIdle(0) > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
	if err := l.server.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	for l.conns.lingering() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
	return closeErr
}

// Close closes the listener and its connections immediately.
func (l *Listener) Close() error {
	return errs.Combine(l.netListener.Close(), l.server.Close())
}
