package listener

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout bounds how long a connection closed for writing waits for further bytes or for its caller to close. It covers a round
	// trip between regions and the caller's time to read a response.
	lingerTimeout = 500 * time.Millisecond
	// maxLinger bounds the whole wait. A caller that reads the response only after it has sent its body gets it if the body is sent by then:
	// 360 KB at 72 KB/s.
	maxLinger = 5 * time.Second
	// maxLingerBytes bounds the bytes that are read and discarded during this time.
	maxLingerBytes = 1 << 20
)

// Close closes the connection after the last response. The kernel resets a connection that is closed with unread bytes, such as a
// pipelined request, and the caller may then lose the response. So Close first closes the write side only, and a goroutine discards
// what still arrives until the caller closes too.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
	return nil
}

// closeLocked implements Close. The caller holds c.mu.
func (c *trackedConn) closeLocked() {
	c.closeOnce.Do(func() {
		c.cancelPipelined()
		c.countReadAhead(-len(c.ahead.bytes))
		c.ahead.bytes = nil
		if c.callerClosed || c.CloseWrite() != nil {
			c.closeNow()
			return
		}
		if c.lingerCount != nil {
			c.lingerCount.Add(1)
		}
		go c.linger()
	})
}

// linger discards received bytes until the caller closes or a bound is reached, and then closes the socket.
func (c *trackedConn) linger() {
	if c.lingerCount != nil {
		defer c.lingerCount.Add(-1)
	}
	defer c.closeNow()
	// The error is ignored: the response was sent, and no request is read from this connection any more.
	discarded, _ := io.CopyN(io.Discard, lingerReader{c.TCPConn, time.Now().Add(maxLinger)}, maxLingerBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle && discarded > 0 {
		c.log.Info().Str("caller", c.RemoteAddr().String()).Int64("bytes", discarded).Int64("idle_ms", c.idleFor.Milliseconds()).Msg("request_crossed_close")
	}
}

// closeNow closes the socket and releases the connection's token. It ignores the error because the connection is not used any more.
func (c *trackedConn) closeNow() {
	_ = c.TCPConn.Close()
	if c.release != nil {
		c.release()
	}
}

// lingerReader reads from a connection that is closed for writing, each time for at most lingerTimeout, until a time. It hides the other
// methods of the connection, so that io.CopyN does not select one of them, such as WriteTo.
type lingerReader struct {
	conn  *net.TCPConn
	until time.Time
}

// Read implements io.Reader.
func (r lingerReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(lingerTimeout)
	if r.until.Before(deadline) {
		deadline = r.until
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}
