package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Client makes attempts on backend servers and keeps the connections to them. It is safe for concurrent use.
type Client struct {
	protocol Protocol
	// connectTimeout bounds the opening of a connection.
	connectTimeout time.Duration

	mu      sync.Mutex
	servers map[string]*serverConns
	// standby is true if idle connections are kept as long as servers announce, and replaced if the server is distant.
	standby bool
	// announcedIdle is the idle timeout that any server announced last, in nanoseconds. New servers are assumed to have the same.
	announcedIdle atomic.Int64
}

// NewClient returns a client without connections that speaks the product's own protocol.
func NewClient() *Client { return NewClientFor(OwnProtocol()) }

// NewClientFor returns a client without connections that speaks the given protocol.
func NewClientFor(protocol Protocol) *Client {
	return &Client{protocol: protocol, connectTimeout: connectTimeout, servers: map[string]*serverConns{}}
}

// Retain closes the idle connections to backend servers for which keep returns false and drops their state.
func (c *Client) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if !keep(id) {
			s.retire()
			delete(c.servers, id)
		}
	}
}

// CloseIdle closes the idle connections to all backend servers.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.close()
	}
}

// Close closes the idle connections and drops the state of all backend servers.
func (c *Client) Close() {
	c.Retain(func(string) bool { return false })
}

func (c *Client) connsFor(server *policy.BackendServer) *serverConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.servers[server.ID]
	if ok && s.address == server.Address && s.setLimit(max(1, server.MaxConnections)) {
		return s
	}
	if ok {
		s.retire()
	}
	s = newServerConns(server, c.protocol, c.connectTimeout)
	if c.standby {
		s.keepLonger(&c.announcedIdle)
	}
	c.servers[server.ID] = s
	return s
}

// Do makes exactly one attempt. It is limited by ctx's deadline and by the service's longest request time, whichever comes first.
func (c *Client) Do(ctx context.Context, service *policy.Service, server *policy.BackendServer, req *Request) Result {
	a := &attempt{protocol: &c.protocol, service: service, server: server, req: req, writes: &writeTracker{beforeWrite: req.BeforeWrite, wrote: make(chan struct{})}}
	if service.MaxRequestMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, service.MaxRequest())
		defer cancel()
	}
	startedAt := time.Now()
	conns := c.connsFor(server)
	conns.recordUse(startedAt)
	res := a.send(ctx, conns)
	res.StartedAt = startedAt
	res.Duration = time.Since(startedAt)
	res.Reused = a.wasReused()
	res.ConnectDuration = a.getConnectDuration()
	res.BytesWritten = a.writes.bytes()
	res.ServerFault = isServerFault(ctx, res)
	switch {
	case isReusedConnUnresponsive(res):
		// The cause of one unresponsive connection often affects all open ones, and a new connection takes only about 1 ms.
		conns.closeIdle()
		conns.suspendReuse()
	case isReusedConnLost(res):
		conns.suspendReuse()
	}
	return res
}

// isReusedConnLost reports whether a reused connection was lost before a response began.
func isReusedConnLost(res Result) bool {
	return res.Reused && res.Outcome == Unknown && res.Failure.Code == result.ConnectionLost
}

// isReusedConnUnresponsive reports whether a reused connection delivered no response before the deadline or the cancellation.
func isReusedConnUnresponsive(res Result) bool {
	return res.Reused && res.Outcome == Unknown && res.Failure.Code == result.AttemptTimeout
}

// attempt is the state of one call of Client.Do.
type attempt struct {
	protocol *Protocol
	service  *policy.Service
	server   *policy.BackendServer
	req      *Request
	writes   *writeTracker

	mu     sync.Mutex
	reused bool
	// connectDuration is the time that opening the connection took, zero for a reused connection.
	connectDuration time.Duration
}

func (a *attempt) send(ctx context.Context, conns *serverConns) Result {
	out, err := a.newHTTPRequest(ctx)
	if err != nil {
		return Result{Outcome: NotRun, Failure: result.Fail(result.BadRequest, "%v", err)}
	}
	transport := conns.transportFor(a.req)
	// Unlike http.Client, RoundTrip does not follow redirects.
	response, err := transport.RoundTrip(out)
	if a.writes.isWriting() && a.writes.isAnswered() {
		conns.recordEarlyResponse()
	}
	if err != nil {
		return a.errorResult(ctx, err)
	}
	defer response.Body.Close()
	return a.readResponse(ctx, conns, response)
}

func (a *attempt) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	target, err := url.ParseRequestURI(a.req.Path)
	if err != nil || len(a.req.Path) == 0 || a.req.Path[0] != '/' {
		return nil, Error.New("path %q cannot be sent", a.req.Path)
	}
	target.Scheme = "http"
	target.Host = a.server.Address.String()
	remaining := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	if a.req.TimeBudget > 0 {
		remaining = min(remaining, a.req.TimeBudget)
	}
	out := &http.Request{
		Method:        a.req.Method,
		URL:           target,
		Host:          target.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.protocol.requestHeader(a.req, remaining),
		Body:          newSingleUseBody(a.req.Body, a.req.Bodies.Retain()),
		ContentLength: int64(len(a.req.Body)),
	}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, GotFirstResponseByte: func() { a.writes.setAnswered(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { a.writes.setWrote() }}
	return out.WithContext(httptrace.WithClientTrace(ctx, trace)), nil
}

// gotConn assigns the connection's subsequent writes to this attempt. http.Transport calls it before it writes the request.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	conn, ok := info.Conn.(*trackedConn)
	a.reused = info.Reused || ok && conn.isStandby
	a.mu.Unlock()
	if ok {
		conn.setTracker(a.writes)
		conn.ExpectResponse()
		if !a.reused {
			a.setConnectDuration(conn.connectDuration)
		}
	}
	if a.req.OnConnected != nil {
		a.req.OnConnected(info.Reused)
	}
}

func (a *attempt) setConnectDuration(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connectDuration = d
}

func (a *attempt) getConnectDuration() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connectDuration
}

func (a *attempt) wasReused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// singleUseBody is a request body that http.Transport cannot replay. Transport resends a request on its own if the body is nil or
// http.NoBody or if GetBody is set, so every request gets a body of this type, even an empty one.
type singleUseBody struct {
	data []byte
	// release returns the memory of data to its budget.
	release func()
}

func newSingleUseBody(data []byte, release func()) io.ReadCloser {
	return &singleUseBody{data: data, release: sync.OnceFunc(release)}
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer. http.Transport calls it once it no longer reads the body, which may be after the response if the server
// responds early.
func (b *singleUseBody) Close() error {
	b.release()
	return nil
}
