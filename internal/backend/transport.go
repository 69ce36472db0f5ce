package backend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Times of connections.
const (
	// connectTimeout bounds the opening of a connection. It normally takes 1 ms; a lost SYN is sent again after 1 s, so
	// waiting longer than this gains nothing before another backend server could have answered.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is short, since a pooled connection that became silent can only be found by using it.
	idleTimeout = 5 * time.Second
	// minTimeoutEvidence is the shortest wait without an answer that speaks against a backend server. Callers may give
	// shorter deadlines than a healthy backend server needs.
	minTimeoutEvidence = time.Second
	// distrustFor is the time for which open connections are not used for work that must not be repeated, after one of them had
	// ended unnoticed: twice the idle time after which a connection is closed here.
	distrustFor = 10 * time.Second
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

var errConnLimit = Error.New("all connections are in use")

// connLimit bounds the open connections to one backend server.
type connLimit struct {
	mu   sync.Mutex
	open int
	max  int
}

func (l *connLimit) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		return false
	}
	l.open++
	return true
}

func (l *connLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// serverConns holds the connections to one backend server.
type serverConns struct {
	address netip.AddrPort
	limit   *connLimit
	// pooled keeps connections for repeatable work; fresh opens one for each attempt. recent keeps connections for other
	// work only as long as the protocol allows, and is nil if it does not.
	pooled *http.Transport
	fresh  *http.Transport
	recent *http.Transport

	mu sync.Mutex
	// distrusted is the time until which work that must not be repeated uses new connections only.
	distrusted time.Time
	// nameless is true while the server's latest answer did not name its request.
	nameless bool
}

func newServerConns(server *policy.BackendServer, protocol Protocol) *serverConns {
	s := &serverConns{
		address: server.Address,
		limit:   &connLimit{max: max(1, server.MaxConnections)},
	}
	s.pooled = s.transport(server)
	s.fresh = s.transport(server)
	s.fresh.DisableKeepAlives = true
	if protocol.RecentIdle > 0 {
		s.recent = s.transport(server)
		s.recent.IdleConnTimeout = protocol.RecentIdle
	}
	return s
}

// transportFor chooses the connections of an attempt. A server whose answers do not name their request gets one request on each
// connection: a late copy of an answer could not be told from the answer to the next.
func (s *serverConns) transportFor(req *Request) *http.Transport {
	switch {
	case req.Fresh || s.isNameless():
		return s.fresh
	case req.Repeatable:
		return s.pooled
	case s.recent != nil && !s.isDistrusted():
		return s.recent
	default:
		return s.fresh
	}
}

// distrust notes that an open connection had ended without this process knowing it. Others to the same server have probably
// ended too, and a request on one of them has an unknown outcome.
func (s *serverConns) distrust() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distrusted = time.Now().Add(distrustFor)
}

func (s *serverConns) isNameless() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nameless
}

// named notes whether the server's latest answer named its request.
func (s *serverConns) named(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameless = !yes
}

func (s *serverConns) isDistrusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.distrusted)
}

// closeIdle closes the connections that no attempt uses.
func (s *serverConns) closeIdle() {
	s.pooled.CloseIdleConnections()
	if s.recent != nil {
		s.recent.CloseIdleConnections()
	}
}

func (s *serverConns) transport(server *policy.BackendServer) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    server.Slots,
		MaxConnsPerHost:        max(1, server.MaxConnections),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// dial opens a connection within the limit. Idle pooled connections make room first.
func (s *serverConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !s.limit.acquire() {
		s.closeIdle()
		if !s.limit.acquire() {
			return nil, errConnLimit
		}
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	started := time.Now()
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		s.limit.release()
		return nil, err
	}
	return &countedConn{Conn: raw, limit: s.limit, connect: time.Since(started)}, nil
}

func (s *serverConns) close() {
	s.closeIdle()
	s.fresh.CloseIdleConnections()
}
