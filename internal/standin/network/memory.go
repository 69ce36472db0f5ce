package network

import (
	"context"
	"net"
	"sync"
	"time"
)

// SharedLink is the link of a host that all its connections share in the direction from the host. It passes in the time of the
// caller, so that tests can use it in virtual time.
type SharedLink struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is the time at which the link has sent everything that was written so far.
	free time.Time
}

// NewSharedLink returns a link with a rate in bytes per second.
func NewSharedLink(bytesPerSecond float64) *SharedLink {
	return &SharedLink{bytesPerSecond: bytesPerSecond}
}

// packetBytes is the size of the pieces in which connections take turns on a link.
const packetBytes = 1460

// send waits until the link has sent a number of bytes.
func (l *SharedLink) send(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	wait := time.Until(l.free)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkedConn is the end of a connection at the host with the link.
type linkedConn struct {
	net.Conn
	link *SharedLink
}

// Write implements net.Conn.
func (c *linkedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+packetBytes)]
		c.link.send(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// MemoryListener accepts connections that Dial makes within the process. It implements net.Listener.
type MemoryListener struct {
	link     *SharedLink
	accepted chan net.Conn
	closed   chan struct{}

	mu    sync.Mutex
	conns []net.Conn
}

// NewMemoryListener returns a listener whose connections send through a link.
func NewMemoryListener(link *SharedLink) *MemoryListener {
	return &MemoryListener{link: link, accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *MemoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It also closes all connections.
func (l *MemoryListener) Close() error {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	return nil
}

// Addr implements net.Listener.
func (l *MemoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection to the listener.
func (l *MemoryListener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	l.mu.Lock()
	l.conns = append(l.conns, near, far)
	l.mu.Unlock()
	select {
	case l.accepted <- &linkedConn{far, l.link}:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
