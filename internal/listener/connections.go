package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// connections are the open connections of a listener.
type connections struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
	// runner runs requests early, nil if none are.
	runner *earlyRunner
	// ending is the number of connections that linger.
	ending atomic.Int64
}

// changed takes the state of a connection. It is a hook of http.Server.
func (c *connections) changed(nc net.Conn, state http.ConnState) {
	conn := nc.(*trackedConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		conn.ending, conn.runner = &c.ending, c.runner
		c.open[conn] = struct{}{}
	case http.StateIdle:
		conn.answered()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// closeIdle closes the connections that have been idle for at least a time and returns the number of the others: with a request, or
// new, since callers open connections to send one.
func (c *connections) closeIdle(since time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := 0
	for conn := range c.open {
		if !conn.closeIfIdle(since) {
			others++
		}
	}
	return others
}

// lingering returns the number of connections that are closed for writing and wait for their callers' end.
func (c *connections) lingering() int64 { return c.ending.Load() }

// trackedConn is a connection that closes only while it is idle. The server's own state of a connection lags: a connection that looked
// idle to it was closed when its request had been read and was already on its way to a backend server.
type trackedConn struct {
	*net.TCPConn
	// release gives the connection's place in the limit back, nil if there is no limit.
	release func()
	// ending counts the connections that linger, nil in tests of single connections.
	ending *atomic.Int64

	close sync.Once
	mu    sync.Mutex
	// idle is true from an answer, at idleSince, until the first byte of the next request, or its start if its bytes came with those
	// of the one before.
	idle      bool
	idleSince time.Time
	// ended is true once the connection was closed while it was idle.
	ended bool
	// callerEnded is true once the caller has closed its side or the connection is broken.
	callerEnded bool
	// leave cancels the request that runs, nil while none does.
	leave context.CancelFunc
	ahead readAhead
	// runner runs requests early, nil if none are. scanner finds them in what is received, and waiting holds those found but not begun.
	runner  *earlyRunner
	scanner scanner
	waiting []scanned
	// current is the latest request that the server has read, served its number; behindBody is true if it has a body. found is the latest
	// request up to that number in what was received.
	current    *http.Request
	served     int
	behindBody bool
	found      scanned
	// agreed is the number of the latest request that was found as the server has read it.
	agreed int
	// early holds the requests that run before the server has read them, by number.
	early map[int]*early
}

// Read does not return what it has read after the connection was closed as idle: the server would pass it on.
func (c *trackedConn) Read(p []byte) (int, error) {
	n := c.takeAhead(p)
	var err error
	known := n > 0
	if !known {
		n, err = c.TCPConn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	c.noteEnd(err)
	if !known {
		c.scan(p[:n])
	}
	if n > 0 {
		c.idle = false
		c.startAhead(len(p))
	}
	return n, err
}

// noteEnd takes the error of a read, under the lock.
func (c *trackedConn) noteEnd(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerEnded = true
		c.cancelEarly()
	}
}

// begin notes that a request runs, which leave cancels. False means that the connection was closed as idle before: the request was
// read together with the one before, and counts as not read.
func (c *trackedConn) begin(r *http.Request, leave context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.idle, c.leave, c.current, c.behindBody = false, leave, r, r.ContentLength != 0
	c.served++
	return true
}

func (c *trackedConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = len(c.early) == 0, time.Now()
}

// closeIfIdle reports whether the connection was idle for a time and is closed.
func (c *trackedConn) closeIfIdle(since time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || time.Since(c.idleSince) < since {
		return false
	}
	if !c.ended {
		c.ended = true
		c.closeLocked()
	}
	return true
}
