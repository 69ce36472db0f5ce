package listener

import (
	"sync"
	"time"
)

const (
	// maxReadAheadBytes bounds the bytes of later requests that are read while a request of the same connection runs.
	maxReadAheadBytes = 64 << 10
	// minReadAheadBytes is the bound that applies while the connections of the listener together have read ahead as much as they may. It is
	// the size of one read, so that the end of most connections is still detected.
	minReadAheadBytes = 4 << 10
)

// readAhead holds bytes of later requests that were read while a request runs.
type readAhead struct {
	bytes []byte
	// running is true while a goroutine reads ahead. stopping is true while it is being stopped by a read deadline in the past, which must
	// not end another read. changed is signalled when bytes were read and when running or stopping changes.
	running  bool
	stopping bool
	changed  *sync.Cond
	// serverHasByte is true if the latest read of the server was for one byte and returned it.
	serverHasByte bool
}

// takeReadAhead moves read-ahead bytes to p and returns their number. While a goroutine reads ahead, it waits for its bytes: two
// concurrent reads from the connection would not keep their order. The server may wait here for the first byte of the next request when
// the running one is completed. Its read must then not begin before the deadline that stops reading ahead is removed: the server takes a
// timeout that it has not caused for a broken connection, and cancels all further requests of the connection.
func (c *trackedConn) takeReadAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.serverHasByte = false
	for len(c.ahead.bytes) == 0 && (c.ahead.running || c.ahead.stopping) {
		c.ahead.changed.Wait()
	}
	n := copy(p, c.ahead.bytes)
	c.ahead.bytes = c.ahead.bytes[n:]
	c.countReadAhead(-n)
	if len(c.ahead.bytes) == 0 {
		c.ahead.bytes = nil
	}
	return n
}

// startReadAhead starts to read ahead if a request runs and the server has stopped reading. The caller holds c.mu. While a request
// runs, the server reads one byte to detect whether the caller disconnects. If it gets the first byte of a next request, it stops
// reading, and the request would continue to run after its caller has disconnected. The server may get that byte before the request
// begins, or keep it from a previous request.
func (c *trackedConn) startReadAhead() {
	if !c.ahead.serverHasByte || c.cancelRequest == nil || c.ahead.running || !c.mayReadAhead() {
		return
	}
	c.ahead.running = true
	if c.ahead.changed == nil {
		c.ahead.changed = sync.NewCond(&c.mu)
	}
	go c.readAhead()
}

// countReadAhead adds to the bytes that the listener's connections have read ahead. The caller holds c.mu.
func (c *trackedConn) countReadAhead(n int) {
	if c.conns != nil {
		c.conns.readAheadBytes.Add(int64(n))
	}
}

// mayReadAhead reports whether more bytes may be read ahead. The caller holds c.mu.
func (c *trackedConn) mayReadAhead() bool {
	if c.conns != nil && c.conns.maxReadAheadBytes > 0 && c.conns.readAheadBytes.Load() >= c.conns.maxReadAheadBytes {
		return len(c.ahead.bytes) < minReadAheadBytes
	}
	return len(c.ahead.bytes) < maxReadAheadBytes
}

// readAhead reads until the caller disconnects, the request is completed or the bound is reached.
func (c *trackedConn) readAhead() {
	buffer := make([]byte, minReadAheadBytes)
	for more := true; more; {
		n, err := c.TCPConn.Read(buffer)
		c.mu.Lock()
		c.ahead.bytes = append(c.ahead.bytes, buffer[:n]...)
		c.countReadAhead(n)
		c.scan(buffer[:n])
		c.noteReadError(err)
		if c.callerClosed && c.cancelRequest != nil {
			c.cancelRequest()
		}
		more = err == nil && c.mayReadAhead()
		c.ahead.running = more
		c.ahead.changed.Broadcast()
		c.mu.Unlock()
	}
}

// completeRequest records that the running request is completed, and stops reading ahead.
func (c *trackedConn) completeRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequest = nil
	if !c.ahead.running {
		return
	}
	// The reading goroutine may be blocked in a read; a deadline in the past unblocks it. If setting the deadline fails, the read fails
	// too.
	c.ahead.stopping = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
	for c.ahead.running {
		c.ahead.changed.Wait()
	}
	_ = c.SetReadDeadline(time.Time{})
	c.ahead.stopping = false
	c.ahead.changed.Broadcast()
}
