package listener

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTime bounds how long a closed connection waits for its caller's end: a round trip between regions, and the caller's time to
	// read an answer.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read and dropped meanwhile.
	lingerBytes = 1 << 20
)

// Close ends the connection behind the answer that was written last. The kernel resets a connection that is closed with unread bytes,
// such as a request that the caller sent behind another one, and the caller may then lose the answer. So the side to the caller is
// closed first, and what still arrives is dropped until the caller ends too.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
	return nil
}

func (c *trackedConn) closeLocked() {
	c.close.Do(func() {
		c.cancelEarly()
		if c.callerEnded || c.CloseWrite() != nil {
			c.closeNow()
			return
		}
		if c.ending != nil {
			c.ending.Add(1)
		}
		go c.linger()
	})
}

func (c *trackedConn) linger() {
	if c.ending != nil {
		defer c.ending.Add(-1)
	}
	defer c.closeNow()
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	// Any end is as good as another: the answer was sent, and nothing more is read from this caller.
	_, _ = io.CopyN(io.Discard, onlyReader{c.TCPConn}, lingerBytes)
}

// closeNow frees the socket. Errors of a connection that nobody uses any more change nothing.
func (c *trackedConn) closeNow() {
	_ = c.TCPConn.Close()
	if c.release != nil {
		c.release()
	}
}

// onlyReader hides the other methods of a connection, so that copying does not choose one of them.
type onlyReader struct{ conn *net.TCPConn }

// Read implements io.Reader.
func (r onlyReader) Read(p []byte) (int, error) { return r.conn.Read(p) }
