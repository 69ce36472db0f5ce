// Package listener serves HTTP on a TCP address and stops without losing a request that a caller has sent.
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
	// idleTimeout closes connections without a request where SetIdleLimit sets no shorter limit.
	idleTimeout = 2 * time.Minute
	// idleCheckInterval is the time between two looks at idle connections, by which a limit may be exceeded. Limits are seconds.
	idleCheckInterval = time.Second
	// drainPoll is the time between two looks at the open connections of a draining listener; it delays a stop by no more.
	drainPoll = 5 * time.Millisecond
)

// Options holds what a Listener serves.
type Options struct {
	// Name is the settings key of the address, for errors and logs.
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// Early reports whether a request may run before those that were sent before it on its connection are answered: it may be repeated,
	// and its caller may leave without its answer. Nil runs all in turn. Answers are always sent in turn.
	Early func(r *http.Request) bool
	// MaxConnections bounds the open connections; 0 sets no bound.
	MaxConnections int
	// MaxHeaderBytes bounds a request header; 0 stands for the default of net/http, 1 MiB.
	MaxHeaderBytes int
	Log            zerolog.Logger
}

// Listener is an HTTP server with its listening socket.
type Listener struct {
	name   string
	server *http.Server
	listen net.Listener
	open   *connections
	// closing is true once answers say that their connection closes.
	closing atomic.Bool
	// idleLimit is the time.Duration after which an idle connection is closed, 0 for idleTimeout.
	idleLimit atomic.Int64
	// served is closed when no more connections are accepted.
	served chan struct{}
}

// Listen binds an address. Serve accepts its connections.
func Listen(o Options) (*Listener, error) {
	bound, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, Error.New("%s: %v", o.Name, err)
	}
	return newListener(o, newBacklogListener(bound.(*net.TCPListener), o.MaxConnections, o.Log)), nil
}

func newListener(o Options, listen net.Listener) *Listener {
	l := &Listener{name: o.Name, listen: listen, open: &connections{open: map[*trackedConn]struct{}{}}, served: make(chan struct{})}
	if o.Early != nil {
		may := func(r *http.Request) bool { return !l.closing.Load() && o.Early(r) }
		l.open.runner = &earlyRunner{may: may, handler: o.Handler, log: o.Log}
	}
	l.server = &http.Server{
		Handler: l.track(o.Handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ErrorLog: telemetry.HTTPErrorLog(o.Log), ConnState: l.open.changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return l
}

// Name returns the settings key of the address.
func (l *Listener) Name() string { return l.name }

// Address returns the address that is bound, also if the settings leave the port to the kernel.
func (l *Listener) Address() netip.AddrPort { return l.listen.Addr().(*net.TCPAddr).AddrPort() }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// track follows the requests of each connection and tells callers in the answers of a closing listener that the connection closes.
func (l *Listener) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(connKey{}).(*trackedConn)
		ctx, leave := context.WithCancel(r.Context())
		defer leave()
		if !conn.begin(r, leave) {
			panic(http.ErrAbortHandler)
		}
		defer conn.finish()
		begun := conn.takeEarly(r)
		if l.closing.Load() && !conn.hasEarly() {
			w.Header().Set("Connection", "close")
		}
		if begun != nil {
			begun.deliver(ctx, w)
			return
		}
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}

// AnnounceClose has each further answer close its connection, while new connections are still accepted.
func (l *Listener) AnnounceClose() { l.closing.Store(true) }

// SetIdleLimit has connections closed that were idle for a time, from now on.
func (l *Listener) SetIdleLimit(limit time.Duration) { l.idleLimit.Store(int64(limit)) }

// enforceIdleLimit closes idle connections until the listener closes.
func (l *Listener) enforceIdleLimit() {
	ticks := time.NewTicker(idleCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-l.served:
			return
		case <-ticks.C:
		}
		if limit := time.Duration(l.idleLimit.Load()); limit > 0 {
			l.open.closeIdle(limit)
		}
	}
}

// Serve accepts connections until the listener closes. It returns nil after Drain and Close.
func (l *Listener) Serve() error {
	defer close(l.served)
	go l.enforceIdleLimit()
	err := l.server.Serve(l.listen)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Drain refuses new connections, closes idle ones and answers what arrives on the others until they are closed or ctx ends. From
// a call of Shutdown on, net/http drops requests that it reads, so Shutdown comes last. Serve must have been called.
func (l *Listener) Drain(ctx context.Context) error {
	l.AnnounceClose()
	closed := l.listen.Close()
	select {
	case <-l.served:
	case <-ctx.Done():
	}
	for l.open.closeIdle(0) > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPoll)
	}
	if err := l.server.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	for l.open.lingering() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPoll)
	}
	return closed
}

// Close ends the listener and its connections at once.
func (l *Listener) Close() error {
	return errs.Combine(l.listen.Close(), l.server.Close())
}
