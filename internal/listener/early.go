package listener

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/guard"
)

const (
	// mostEarly is the number of requests of one connection that run before the ones sent before them are answered.
	mostEarly = 4
	// deliverTimeout bounds how long a caller may take to read an answer that was made early.
	deliverTimeout = 30 * time.Second
)

// early is a request that runs before the ones sent before it on its connection are answered. Its answer is kept until it is its turn.
type early struct {
	request *http.Request
	cancel  context.CancelFunc
	// done is closed when the answer is complete; aborted is true if the handler gave none.
	done    chan struct{}
	aborted bool

	status int
	header http.Header
	body   bytes.Buffer
}

// start runs the handler.
func (e *early) start(handler http.Handler, log zerolog.Logger) {
	go func() {
		defer close(e.done)
		defer func() {
			r := recover()
			e.aborted = r != nil
			if r != nil && r != http.ErrAbortHandler {
				guard.LogPanic(log, "early request", r)
			}
		}()
		handler.ServeHTTP(e, e.request)
	}()
}

// Header implements http.ResponseWriter.
func (e *early) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *early) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write implements http.ResponseWriter.
func (e *early) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	return e.body.Write(p)
}

// SetReadDeadline, SetWriteDeadline and EnableFullDuplex are for handlers that bound their connection. This answer is written later.
func (e *early) SetReadDeadline(time.Time) error  { return nil }
func (e *early) SetWriteDeadline(time.Time) error { return nil }
func (e *early) EnableFullDuplex() error          { return nil }

// deliver waits for the answer and writes it, when all requests before have been answered. The end of ctx ends the run.
func (e *early) deliver(ctx context.Context, w http.ResponseWriter) {
	defer context.AfterFunc(ctx, e.cancel)()
	<-e.done
	e.cancel()
	if e.aborted || e.status == 0 {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	for name, values := range e.header {
		header[name] = values
	}
	// An error shows that the connection has ended, and then the writes fail too.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(deliverTimeout))
	w.WriteHeader(e.status)
	_, _ = w.Write(e.body.Bytes())
}

// earlyRunner tells which requests may run before those sent before them are answered, and what runs them.
type earlyRunner struct {
	may     func(r *http.Request) bool
	handler http.Handler
	log     zerolog.Logger
}

// scan follows the requests in bytes that the connection has received, under the lock.
func (c *trackedConn) scan(p []byte) {
	if c.runner != nil {
		c.waiting = append(c.waiting, c.scanner.scan(p)...)
		c.startEarly()
	}
}

// startEarly runs requests that wait behind the running one, under the lock. None is run behind a request with a body: its answer may
// close the connection, and what was sent behind that counts as not read.
func (c *trackedConn) startEarly() {
	for len(c.waiting) > 0 {
		next := c.waiting[0]
		if next.number > c.served {
			if next.hasBody || c.leave == nil || c.behindBody || c.callerEnded || len(c.early) >= mostEarly || !c.inStep() || !c.runEarly(next) {
				return
			}
		} else {
			c.found = next
		}
		c.waiting = c.waiting[1:]
	}
}

// inStep reports whether the request that runs is the one that was found with its number, under the lock. Otherwise the server divides
// the bytes in another way, and what was found behind it may be no request.
func (c *trackedConn) inStep() bool {
	if c.agreed == c.served {
		return true
	}
	found, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.found.head)))
	if err != nil || c.found.number != c.served || !sameRequest(found, c.current) {
		c.fallOutOfStep()
		return false
	}
	c.agreed = c.served
	return true
}

// fallOutOfStep ends what runs early and begins nothing more on the connection, under the lock.
func (c *trackedConn) fallOutOfStep() {
	c.cancelEarly()
	c.early, c.waiting, c.scanner.lost = nil, nil, true
}

// sameRequest reports whether two readings of a head are of the same request.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && a.ContentLength == b.ContentLength && reflect.DeepEqual(a.Header, b.Header)
}

// runEarly reports whether it runs a request, under the lock.
func (c *trackedConn) runEarly(next scanned) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(next.head)))
	if err != nil || !c.runner.may(r) {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &early{request: r.WithContext(ctx), cancel: cancel, done: make(chan struct{}), header: http.Header{}}
	if c.early == nil {
		c.early = map[int]*early{}
	}
	c.early[next.number] = e
	e.start(c.runner.handler, c.runner.log)
	return true
}

// takeEarly returns the early run of the request that the server has read, nil if there is none, and begins those behind it.
func (c *trackedConn) takeEarly(r *http.Request) *early {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.early[c.served]
	if e != nil {
		delete(c.early, c.served)
		if !sameRequest(e.request, r) {
			e.cancel()
			c.fallOutOfStep()
			return nil
		}
		c.agreed = c.served
	}
	c.startEarly()
	return e
}

// hasEarly reports whether requests run that the server has not read.
func (c *trackedConn) hasEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.early) > 0
}

// cancelEarly ends the early runs of a connection that ends, under the lock.
func (c *trackedConn) cancelEarly() {
	for _, e := range c.early {
		e.cancel()
	}
}
