package listener

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/guard"
)

const (
	// maxPipelined bounds the requests of one connection that run in addition to the one that the server has read.
	maxPipelined = 4
	// responseWriteTimeout bounds how long a caller may take to read a buffered response.
	responseWriteTimeout = 30 * time.Second
	// minStatus and maxStatus bound the statuses that net/http sends.
	minStatus = 100
	maxStatus = 999
)

// pipelinedRequest is a request that runs while previous requests of its connection are not completed. Its handler waits before the first
// byte of its response until the previous responses have been sent, so that a response does not outlive the memory that its handler has
// reserved for it. It implements http.ResponseWriter for its handler.
type pipelinedRequest struct {
	request *http.Request
	cancel  context.CancelFunc
	// turn delivers the connection's writer once the previous responses have been sent.
	turn chan http.ResponseWriter
	// done is closed when the handler has returned. aborted is true if it panicked.
	done    chan struct{}
	aborted bool

	header http.Header
	// writer is the connection's writer from the first byte of the response on, and nil before. Only the handler uses it until done is
	// closed.
	writer http.ResponseWriter
}

func newPipelinedRequest(ctx context.Context, r *http.Request) *pipelinedRequest {
	ctx, cancel := context.WithCancel(ctx)
	return &pipelinedRequest{request: r.WithContext(ctx), cancel: cancel, turn: make(chan http.ResponseWriter, 1), done: make(chan struct{}), header: http.Header{}}
}

// start runs the handler in a goroutine.
func (pr *pipelinedRequest) start(handler http.Handler, log zerolog.Logger) {
	go func() {
		defer close(pr.done)
		defer func() {
			r := recover()
			pr.aborted = r != nil
			if r != nil && r != http.ErrAbortHandler {
				guard.LogPanic(log, "pipelined request", r)
			}
		}()
		handler.ServeHTTP(pr, pr.request)
	}()
}

// Header implements http.ResponseWriter.
func (pr *pipelinedRequest) Header() http.Header { return pr.header }

// WriteHeader implements http.ResponseWriter. It waits until the previous responses have been sent. Like net/http it panics if the status
// is invalid, so that a handler fails in the same way on both paths.
func (pr *pipelinedRequest) WriteHeader(status int) {
	if status < minStatus || status > maxStatus {
		panic(fmt.Sprintf("invalid WriteHeader code %d", status))
	}
	if pr.writer != nil {
		return
	}
	select {
	case <-pr.request.Context().Done():
		return
	case pr.writer = <-pr.turn:
	}
	header := pr.writer.Header()
	for name, values := range pr.header {
		header[name] = values
	}
	// An error means that the connection is closed, and then the writes fail too.
	_ = http.NewResponseController(pr.writer).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	pr.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter. It fails if the request is cancelled before the previous responses have been sent.
func (pr *pipelinedRequest) Write(p []byte) (int, error) {
	pr.WriteHeader(http.StatusOK)
	if pr.writer == nil {
		return 0, Error.Wrap(pr.request.Context().Err())
	}
	return pr.writer.Write(p)
}

// SetReadDeadline, SetWriteDeadline and EnableFullDuplex exist for handlers that use http.ResponseController. They do nothing, because
// the connection's writer is not known yet.
func (pr *pipelinedRequest) SetReadDeadline(time.Time) error  { return nil }
func (pr *pipelinedRequest) SetWriteDeadline(time.Time) error { return nil }
func (pr *pipelinedRequest) EnableFullDuplex() error          { return nil }

// writeResponse lets the handler write its response to w, and waits until it has returned. It is called after the responses to all
// previous requests have been sent. Cancelling ctx cancels the request.
func (pr *pipelinedRequest) writeResponse(ctx context.Context, w http.ResponseWriter) {
	defer context.AfterFunc(ctx, pr.cancel)()
	pr.turn <- w
	<-pr.done
	pr.cancel()
	if pr.aborted || pr.writer == nil {
		panic(http.ErrAbortHandler)
	}
}

// pipelineRunner runs pipelined requests concurrently. mayRun reports whether a request may run while previous requests of its
// connection are not completed.
type pipelineRunner struct {
	mayRun  func(r *http.Request) bool
	handler http.Handler
	log     zerolog.Logger
}

// scan finds the requests in received bytes and starts those that may run. After the announcement of the close the bytes are discarded.
// The caller holds c.mu.
func (c *trackedConn) scan(p []byte) {
	if c.closeAnnounced {
		return
	}
	found := c.scanner.scan(p, time.Now())
	if c.runner != nil {
		c.notStarted = append(c.notStarted, found...)
		c.startPipelined()
	}
}

// hasFurther reports whether the head of a request was received that the server has not read. The caller holds c.mu.
func (c *trackedConn) hasFurther() bool { return c.scanner.foundCount > c.readCount }

// announceClose reports whether the response to the running request closes the connection of a closing listener. It does not if a
// further request was received. No request that is received later is run.
func (c *trackedConn) announceClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAnnounced = c.closeAnnounced || !c.hasFurther()
	return c.closeAnnounced
}

// startPipelined starts requests that were received after the running one. None is started after a request with a body: its response
// may close the connection, and requests sent after it then count as not read. The caller holds c.mu.
func (c *trackedConn) startPipelined() {
	for len(c.notStarted) > 0 {
		next := c.notStarted[0]
		if next.number > c.readCount {
			if next.hasBody || c.cancelRequest == nil || c.currentHasBody || c.callerClosed || len(c.pipelined) >= maxPipelined || !c.scannerInSync() || !c.runPipelined(next) {
				return
			}
		} else {
			c.lastFound = next
		}
		c.notStarted = c.notStarted[1:]
	}
}

// currentReceivedAt returns the time at which the head of the running request was received. If the scanner has not found the request,
// it returns the current time.
func (c *trackedConn) currentReceivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastFound.number == c.readCount {
		return c.lastFound.receivedAt
	}
	return time.Now()
}

// receivedAtKey is the context key of the time at which a request was received.
type receivedAtKey struct{}

func withReceivedAt(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, receivedAtKey{}, at)
}

// ReceivedAt returns the time at which the head of a request was received, from the context of the request. A request that was sent
// behind another on its connection may start to run much later. The time is that of the call if the listener does not know it.
func ReceivedAt(ctx context.Context) time.Time {
	if at, ok := ctx.Value(receivedAtKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// scannerInSync reports whether the running request is the one that the scanner found under the same number. If not, the server parses
// the bytes differently, and the bytes after it that the scanner took for requests may not be requests. The caller holds c.mu.
func (c *trackedConn) scannerInSync() bool {
	if c.lastMatched == c.readCount {
		return true
	}
	found, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.lastFound.head)))
	if err != nil || c.lastFound.number != c.readCount || !sameRequest(found, c.current) {
		c.stopPipelining()
		return false
	}
	c.lastMatched = c.readCount
	return true
}

// stopPipelining cancels the pipelined requests and starts no more of them on the connection. The caller holds c.mu.
func (c *trackedConn) stopPipelining() {
	c.cancelPipelined()
	c.pipelined, c.notStarted = nil, nil
	c.scanner.stopped, c.scanner.foundCount = true, c.readCount
}

// sameRequest reports whether two parsed request heads are equal.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && a.ContentLength == b.ContentLength && reflect.DeepEqual(a.Header, b.Header)
}

// runPipelined starts a request if it may run concurrently, and reports whether it did. The caller holds c.mu.
func (c *trackedConn) runPipelined(next scannedRequest) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(next.head)))
	if err != nil || !c.runner.mayRun(r) {
		return false
	}
	pr := newPipelinedRequest(withReceivedAt(context.Background(), next.receivedAt), r)
	if c.pipelined == nil {
		c.pipelined = map[int]*pipelinedRequest{}
	}
	c.pipelined[next.number] = pr
	pr.start(c.runner.handler, c.runner.log)
	return true
}

// takePipelined returns the pipelined request for the request that the server has read, or nil if it was not started before. It then
// starts further pipelined requests. The caller holds c.mu.
func (c *trackedConn) takePipelined(r *http.Request) *pipelinedRequest {
	pr := c.pipelined[c.readCount]
	if pr != nil {
		delete(c.pipelined, c.readCount)
		if !sameRequest(pr.request, r) {
			pr.cancel()
			c.stopPipelining()
			return nil
		}
		c.lastMatched = c.readCount
	}
	c.startPipelined()
	return pr
}

// cancelPipelined cancels the pipelined requests of a connection that closes. The caller holds c.mu.
func (c *trackedConn) cancelPipelined() {
	for _, pr := range c.pipelined {
		pr.cancel()
	}
}
