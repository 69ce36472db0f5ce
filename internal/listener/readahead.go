package listener

import (
	"time"
)

// maxReadAheadBytes bounds the bytes of later requests that are read while a request of the same connection runs.
const maxReadAheadBytes = 64 << 10

// readAhead holds bytes of later requests that were read while a request runs.
type readAhead struct {
	bytes []byte
	// done is closed when the reading goroutine stops. It is nil if none runs.
	done chan struct{}
}

// takeReadAhead moves read-ahead bytes to p and returns their number. Nothing is read ahead while the server reads.
func (c *trackedConn) takeReadAhead(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ahead.bytes)
	c.ahead.bytes = c.ahead.bytes[n:]
	if len(c.ahead.bytes) == 0 {
		c.ahead.bytes = nil
	}
	return n
}

// startReadAhead starts to read ahead. The caller holds c.mu. While a request runs, the server reads one byte to detect whether the
// caller disconnects. If it gets the first byte of a next request, it stops reading, and the request would continue to run after its
// caller has disconnected.
func (c *trackedConn) startReadAhead(readSize int) {
	if readSize != 1 || c.cancelRequest == nil || c.ahead.done != nil {
		return
	}
	done := make(chan struct{})
	c.ahead.done = done
	go c.readAhead(done)
}

// readAhead reads until the caller disconnects, the request is completed or maxReadAheadBytes is reached.
func (c *trackedConn) readAhead(done chan struct{}) {
	defer close(done)
	buffer := make([]byte, 4<<10)
	for {
		n, err := c.TCPConn.Read(buffer)
		c.mu.Lock()
		c.ahead.bytes = append(c.ahead.bytes, buffer[:n]...)
		c.scan(buffer[:n])
		full := len(c.ahead.bytes) >= maxReadAheadBytes
		c.noteReadError(err)
		if c.callerClosed && c.cancelRequest != nil {
			c.cancelRequest()
		}
		c.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// completeRequest records that the running request is completed, and stops reading ahead.
func (c *trackedConn) completeRequest() {
	c.mu.Lock()
	done := c.ahead.done
	c.cancelRequest, c.ahead.done = nil, nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	// The reading goroutine may be blocked in a read; a deadline in the past unblocks it. If setting the deadline fails, the read fails
	// too.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
