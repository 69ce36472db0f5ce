package backend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Limits of connections.
const (
	// connectTimeout bounds the opening of a connection, which normally takes 1 ms. A lost SYN is retransmitted only after 1 s,
	// and another backend server could respond before that, so a longer wait gains nothing.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is short, since a pooled connection that became unresponsive can only be detected by using it.
	idleTimeout = 5 * time.Second
	// minServerFaultWait is the shortest wait without a response that counts as a fault of the backend server. Callers may set
	// shorter deadlines than a healthy backend server needs.
	minServerFaultWait = time.Second
	// reuseSuspension is the time for which non-repeatable work does not reuse connections after a reused one turned out to be
	// lost or unresponsive: twice idleTimeout.
	reuseSuspension = 10 * time.Second
	// remainingBodyTimeout bounds the time in which a server that has responded early reads the rest of the request's body. It covers 360 KB
	// at 36 KB/s.
	remainingBodyTimeout = 10 * time.Second
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
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

func (l *connLimit) setMax(max int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = max
}

func (l *connLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// maxLimitChange is the factor up to which a changed limit applies to the existing transports. A host's share of a server's connections
// changes whenever a host joins or leaves; new transports each time would lose the open connections.
const maxLimitChange = 2

// serverConns holds the connections to one backend server.
type serverConns struct {
	address netip.AddrPort
	limit   *connLimit
	// initialLimit is the limit for which the transports were created.
	initialLimit int
	slots        int
	// pooled keeps connections for repeatable work; unpooled opens a connection for each attempt. recentlyUsed keeps connections
	// for non-repeatable work for at most the protocol's MaxReuseIdle, and is nil if that is 0.
	pooled       *http.Transport
	unpooled     *http.Transport
	recentlyUsed *http.Transport
	// singleUse opens a connection for each attempt without announcing its close: a server that responds before it has read the body would
	// otherwise close the connection at once.
	singleUse *http.Transport

	connectTimeout time.Duration

	// lastAnnounced is the idle timeout that any server announced last. It is nil if idle connections are not kept that long.
	lastAnnounced *atomic.Int64

	mu sync.Mutex
	// lastUsed is the start of the latest attempt. distant is true if opening a connection took at least distantConnectTime.
	lastUsed time.Time
	distant  bool
	// announcedIdle is the idle timeout that the server announced, zero if it did not.
	announcedIdle time.Duration
	standby       standby
	// retired is true if the server is no longer used.
	retired bool
	// respondsEarly is true if the server has responded to a request before it was written.
	respondsEarly bool
	// reuseSuspendedUntil is the time until which non-repeatable work uses only new connections.
	reuseSuspendedUntil time.Time
	// omitsRequestID is true if the server's latest response did not echo the request id.
	omitsRequestID bool
}

func newServerConns(server *policy.BackendServer, protocol Protocol, connectTimeout time.Duration) *serverConns {
	s := &serverConns{
		address:        server.Address,
		limit:          &connLimit{max: max(1, server.MaxConnections)},
		initialLimit:   max(1, server.MaxConnections),
		connectTimeout: connectTimeout,
		slots:          server.Slots,
	}
	s.pooled = s.newTransport(idleTimeout)
	s.unpooled = s.newTransport(idleTimeout)
	s.unpooled.DisableKeepAlives = true
	s.unpooled.DialContext = s.dialNew
	s.singleUse = s.newTransport(idleTimeout)
	s.singleUse.MaxIdleConnsPerHost = -1
	if protocol.MaxReuseIdle > 0 {
		s.recentlyUsed = s.newTransport(protocol.MaxReuseIdle)
	}
	return s
}

// setLimit changes the limit of open connections. It returns false if that needs new transports.
func (s *serverConns) setLimit(limit int) bool {
	if limit > maxLimitChange*s.initialLimit || s.initialLimit > maxLimitChange*limit {
		return false
	}
	s.limit.setMax(limit)
	return true
}

// transportFor chooses the transport of an attempt. A server whose responses do not echo the request id gets only one request on each
// connection, because a late duplicate of a response could not be distinguished from the response to the next request.
func (s *serverConns) transportFor(req *Request) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case req.SingleUse && s.respondsEarly:
		return s.singleUse
	case req.NewConnection || s.omitsRequestID:
		return s.unpooled
	case req.Repeatable:
		return s.pooled
	case s.recentlyUsed != nil && !time.Now().Before(s.reuseSuspendedUntil):
		return s.recentlyUsed
	default:
		return s.unpooled
	}
}

// suspendReuse makes non-repeatable work use only new connections for reuseSuspension, after a reused connection turned out to be
// lost or unresponsive. Other open connections to the same server are probably affected too, and a request on one of them would
// have an unknown outcome.
func (s *serverConns) suspendReuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reuseSuspendedUntil = time.Now().Add(reuseSuspension)
}

// recordEcho records whether the server's latest response echoed the request id.
func (s *serverConns) recordEcho(echoed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omitsRequestID = !echoed
}

// recordEarlyResponse records that the server responded to a request before it was written.
func (s *serverConns) recordEarlyResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respondsEarly = true
}

// recordUse records the start of an attempt.
func (s *serverConns) recordUse(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
}

// closeIdle closes the connections that no request uses.
func (s *serverConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeStandbyLocked()
	s.pooled.CloseIdleConnections()
	if s.recentlyUsed != nil {
		s.recentlyUsed.CloseIdleConnections()
	}
}

// newTransport returns a transport that keeps idle connections for a time.
func (s *serverConns) newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    s.slots,
		MaxConnsPerHost:        s.initialLimit,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// dial returns the standby connection, or else opens a connection.
func (s *serverConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := s.takeStandby(); conn != nil {
		return conn, nil
	}
	return s.dialNew(ctx, network, address)
}

// dialNew opens a connection and records whether the server is distant.
func (s *serverConns) dialNew(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distant = conn.connectDuration >= distantConnectTime
	return conn, nil
}

// open opens a connection within the limit. At the limit, it first closes idle connections to free capacity.
func (s *serverConns) open(ctx context.Context, network, address string) (*trackedConn, error) {
	if !s.limit.acquire() {
		s.closeIdle()
		if !s.limit.acquire() {
			return nil, errConnLimit
		}
	}
	dialer := net.Dialer{Timeout: s.connectTimeout}
	startedAt := time.Now()
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		s.limit.release()
		return nil, err
	}
	return &trackedConn{Conn: httpconn.New(raw), limit: s.limit, connectDuration: time.Since(startedAt)}, nil
}

// retire closes the idle connections of a server that is no longer used.
func (s *serverConns) retire() {
	s.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
}

func (s *serverConns) close() {
	s.closeIdle()
	s.unpooled.CloseIdleConnections()
}
