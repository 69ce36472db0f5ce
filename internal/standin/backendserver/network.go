package backendserver

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("standin backendserver")

// network is the listener and the open connections of a stand-in.
type network struct {
	mu       sync.Mutex
	address  string
	listener net.Listener
	http     *http.Server
	conns    map[*conn]struct{}
}

// Start listens on address, for example 127.0.0.1:0, and serves until Close.
func (s *Server) Start(address string) error {
	s.network.address = address
	s.network.conns = map[*conn]struct{}{}
	s.network.http = &http.Server{Handler: s}
	return s.Accept()
}

// Address returns the listening address with the port that the kernel chose.
func (s *Server) Address() netip.AddrPort {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	return netip.MustParseAddrPort(s.network.address)
}

// Accept ends Refuse: connections are accepted again on the same address.
func (s *Server) Accept() error {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if s.network.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.network.address)
	if err != nil {
		return Error.Wrap(err)
	}
	s.network.address = l.Addr().String()
	s.network.listener = l
	go func() { _ = s.network.http.Serve(&listener{Listener: l, server: s}) }()
	return nil
}

// Refuse closes the listener, so that new connections are refused. Open connections keep working.
func (s *Server) Refuse() {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if s.network.listener != nil {
		_ = s.network.listener.Close()
		s.network.listener = nil
	}
}

// SilenceOpen makes every open connection silent: what arrives is dropped and nothing is sent. New connections work.
func (s *Server) SilenceOpen() {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	for c := range s.network.conns {
		c.silent.Store(true)
	}
}

// Die closes the listener and every connection, as a killed process does.
func (s *Server) Die() {
	s.Refuse()
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	for c := range s.network.conns {
		_ = c.Conn.Close()
	}
}

// Close stops the stand-in.
func (s *Server) Close() error {
	s.Refuse()
	return Error.Wrap(s.network.http.Close())
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.server.countAccepted()
		if l.server.take(CloseBeforeRead) {
			_ = raw.Close()
			continue
		}
		c := &conn{Conn: raw, server: l.server}
		c.silent.Store(l.server.take(SilentNew))
		l.server.track(c)
		return c, nil
	}
}

func (s *Server) countAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Accepted++
}

func (s *Server) track(c *conn) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.conns[c] = struct{}{}
}

// conn is one accepted connection with its faults.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	served atomic.Bool
}

// Read implements net.Conn. A silent connection drops what arrives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.silent.Load() {
			continue
		}
		if c.server.take(CloseDuringRead) || c.served.Load() && c.server.take(CloseReused) {
			_ = c.Conn.Close()
			return 0, net.ErrClosed
		}
		return n, nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	c.served.Store(true)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.network.mu.Lock()
	delete(c.server.network.conns, c)
	c.server.network.mu.Unlock()
	return c.Conn.Close()
}
