package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Client makes attempts on backend servers. It is safe for concurrent use.
type Client struct {
	protocol Protocol

	mu      sync.Mutex
	servers map[string]*serverConns
}

// NewClient returns a client without connections that speaks the product's own protocol.
func NewClient() *Client { return NewClientFor(OwnProtocol()) }

// NewClientFor returns a client without connections that speaks the given protocol.
func NewClientFor(protocol Protocol) *Client {
	return &Client{protocol: protocol, servers: map[string]*serverConns{}}
}

// Retain closes the idle connections of backend servers for which keep is false and forgets them.
func (c *Client) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if !keep(id) {
			s.close()
			delete(c.servers, id)
		}
	}
}

// CloseIdle closes the connections that no attempt uses.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.close()
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.Retain(func(string) bool { return false })
}

func (c *Client) conns(server *policy.BackendServer) *serverConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.servers[server.ID]
	if ok && s.address == server.Address && s.limit.max == max(1, server.MaxConnections) {
		return s
	}
	if ok {
		s.close()
	}
	s = newServerConns(server, c.protocol)
	c.servers[server.ID] = s
	return s
}

// Do makes exactly one attempt. The attempt ends at ctx's deadline, and after the service's longest request time.
func (c *Client) Do(ctx context.Context, service *policy.Service, server *policy.BackendServer, req *Request) Result {
	a := &attempt{protocol: &c.protocol, service: service, server: server, req: req, proof: &writeProof{beforeWrite: req.BeforeWrite}}
	if service.MaxRequestMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, service.MaxRequest())
		defer cancel()
	}
	started := time.Now()
	conns := c.conns(server)
	res := a.run(ctx, conns)
	res.SentAt = started
	res.Duration = time.Since(started)
	res.Reused = a.wasReused()
	res.Connect = a.connectTime()
	res.BytesWritten = a.proof.bytes()
	res.ServerFault = isServerFault(ctx, res)
	switch {
	case isSilentReuse(res):
		// What silenced one open connection often silenced all. New ones take about 1 ms.
		conns.closeIdle()
		conns.distrust()
	case isEndedReuse(res):
		conns.distrust()
	}
	return res
}

// isEndedReuse reports whether a reused connection ended before an answer began.
func isEndedReuse(res Result) bool {
	return res.Reused && res.Outcome == Unknown && res.Failure.Code == result.ConnectionLost
}

// isSilentReuse reports whether a reused connection gave no answer before the deadline or the cancellation.
func isSilentReuse(res Result) bool {
	return res.Reused && res.Outcome == Unknown && res.Failure.Code == result.AttemptTimeout
}

// attempt is the state of one Do.
type attempt struct {
	protocol *Protocol
	service  *policy.Service
	server   *policy.BackendServer
	req      *Request
	proof    *writeProof

	mu     sync.Mutex
	reused bool
	// connect is the time that opening the connection took, zero for an open one.
	connect time.Duration
}

func (a *attempt) run(ctx context.Context, conns *serverConns) Result {
	out, err := a.httpRequest(ctx)
	if err != nil {
		return Result{Outcome: NotRun, Failure: result.Fail(result.BadRequest, "%v", err)}
	}
	transport := conns.transportFor(a.req)
	// Redirects are not followed because RoundTrip, unlike http.Client, does not.
	answer, err := transport.RoundTrip(out)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer answer.Body.Close()
	return a.read(ctx, conns, answer)
}

func (a *attempt) httpRequest(ctx context.Context) (*http.Request, error) {
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
	if a.req.Budget > 0 {
		remaining = min(remaining, a.req.Budget)
	}
	out := &http.Request{
		Method:        a.req.Method,
		URL:           target,
		Host:          target.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.protocol.outgoingHeader(a.req, remaining),
		Body:          newSingleUseBody(a.req.Body),
		ContentLength: int64(len(a.req.Body)),
	}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	return out.WithContext(httptrace.WithClientTrace(ctx, trace)), nil
}

// gotConn attributes what the connection writes from now on to this attempt. Transport calls it before it writes.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	a.reused = info.Reused
	a.mu.Unlock()
	if conn, ok := info.Conn.(*countedConn); ok {
		conn.attach(a.proof)
		if !info.Reused {
			a.setConnectTime(conn.connect)
		}
	}
	if a.req.Connected != nil {
		a.req.Connected(info.Reused)
	}
}

func (a *attempt) setConnectTime(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connect = d
}

func (a *attempt) connectTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connect
}

func (a *attempt) wasReused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// singleUseBody hides what the body is. Transport resends a request on its own if the body is nil, http.NoBody or has
// GetBody, so every request gets a body of this type, also an empty one.
type singleUseBody struct {
	data []byte
}

func newSingleUseBody(data []byte) io.ReadCloser {
	return &singleUseBody{data: data}
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

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }
