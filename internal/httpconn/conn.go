// Package httpconn provides the connections on which net/http reads responses. They report two faults that net/http does not: the loss of a
// connection, where it would see the end of a response, and heads that it does not read as the server meant them.
package httpconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of errors of this package.
var Error = errs.Class("httpconn")

// Conn is a connection of a client of HTTP/1. It hides the optional methods of the wrapped connection, so that every byte goes through Read
// and Write.
type Conn struct {
	net.Conn

	// writing is held during each write. It guards lost.
	writing sync.Mutex
	// lost is the error of the first write that failed because the connection was lost, or nil.
	lost error

	mu   sync.Mutex
	head headChecker
	// headErr is the result of the check of the latest head. No byte is read after an invalid one.
	headErr error
}

// New returns a connection that uses conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ExpectResponse has to be called before a request is written on a connection that was used before, so that the head of its response is checked.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.next()
}

// Read implements net.Conn. It returns io.EOF only if the peer closed the connection in order. Errors: also that of a write, and
// ErrInvalidHead.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if headErr := c.checkHead(b[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

func (c *Conn) checkHead(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil {
		c.headErr = c.head.check(data)
	}
	return c.headErr
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// endError returns io.EOF if the peer closed the connection in order, and otherwise the reason why it was lost. The kernel reports that a
// connection was lost, such as by a reset, to one call only. After a write got the error, a read returns io.EOF.
func (c *Conn) endError() error {
	if endedInOrder(c.Conn) {
		return io.EOF
	}
	// The connection was reset or closed, so a write that is running does not block. It may have got the error and not have returned yet.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return Error.New("the connection was lost while the request was written: %w", c.lost)
	}
	return io.EOF
}

// isLoss reports whether the error of a write shows that the connection was lost. EPIPE does not: a write returns it if the peer closed the
// connection in order before it reset it, or if another call got the error.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// endedInOrder reports whether the peer closed the connection in order and has not reset it since. It is also true for a connection that does
// not use TCP, which reports a loss to every call.
func endedInOrder(conn net.Conn) bool {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	inCloseWait := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inCloseWait = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && inCloseWait
}
