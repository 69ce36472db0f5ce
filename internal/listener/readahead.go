package listener

import (
	"time"
)

// mostAhead bounds the bytes of later requests that are read while a request of the same connection runs.
const mostAhead = 64 << 10

// readAhead is what was read of later requests while one runs.
type readAhead struct {
	bytes []byte
	// done is closed when the reader ends, nil if none runs.
	done chan struct{}
}

// takeAhead takes bytes that were read ahead. None are read while the server reads.
func (c *trackedConn) takeAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ahead.bytes)
	c.ahead.bytes = c.ahead.bytes[n:]
	if len(c.ahead.bytes) == 0 {
		c.ahead.bytes = nil
	}
	return n
}

// startAhead begins to read ahead, under the lock. While a request runs, the server reads one byte to see whether the caller
// leaves. If that is the first byte of a next request, it looks no further, and work would go on for a caller that has left.
func (c *trackedConn) startAhead(asked int) {
	if asked != 1 || c.leave == nil || c.ahead.done != nil {
		return
	}
	done := make(chan struct{})
	c.ahead.done = done
	go c.readAhead(done)
}

// readAhead reads until the caller leaves, the request ends or the bound is reached.
func (c *trackedConn) readAhead(done chan struct{}) {
	defer close(done)
	buffer := make([]byte, 4<<10)
	for {
		n, err := c.TCPConn.Read(buffer)
		c.mu.Lock()
		c.ahead.bytes = append(c.ahead.bytes, buffer[:n]...)
		c.scan(buffer[:n])
		full := len(c.ahead.bytes) >= mostAhead
		c.noteEnd(err)
		if c.callerEnded && c.leave != nil {
			c.leave()
		}
		c.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// finish notes that the request has ended, and stops reading ahead.
func (c *trackedConn) finish() {
	c.mu.Lock()
	done := c.ahead.done
	c.leave, c.ahead.done = nil, nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	// The reader may wait in the kernel; a deadline in the past ends that. A connection without a deadline fails to read anyway.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
