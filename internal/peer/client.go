package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/grants"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

const (
	// dataConnCount is the number of connections to one peer that carry requests. With several of them a lost packet of one
	// large body does not delay all other requests. Control messages have a separate connection.
	dataConnCount = 4
	// dialTimeoutBase and dialTimeoutTrips, a number of one-way delays, limit the time to open a connection. That takes two
	// round trips, and as much again is allowed for a lost packet. A longer wait would use up the time of a request whose
	// peer is down.
	dialTimeoutBase  = 500 * time.Millisecond
	dialTimeoutTrips = 8
	// controlTimeout limits a control call.
	controlTimeout = 2 * time.Second
	// responseMargin is subtracted from the timeout that a peer gets, so that its rejection arrives before the deadline of
	// the caller.
	responseMargin = 10 * time.Millisecond
)

// Resolver returns the peer address of a host and the one-way delay to the host. It reports whether the host is configured.
type Resolver func(host string) (address netip.AddrPort, oneWay time.Duration, known bool)

// Client calls other entry hosts.
type Client struct {
	local   netip.Addr
	resolve Resolver
	traffic trafficCounter
	// dials lets callers that need the same connection share one dial.
	dials singleflight.Group
	// dialTimeoutBase is the constant part of the timeout for opening a connection.
	dialTimeoutBase time.Duration

	mu          sync.Mutex
	connsByHost map[string]*peerConns
}

// connIndex is the index of a connection among the connections to one host.
type connIndex int

// controlConn is the connection for control messages. The connections from 1 to dataConnCount carry requests.
const controlConn connIndex = 0

// keepaliveMode returns the keepalive mode of the connection.
func (index connIndex) keepaliveMode() keepaliveMode {
	if index == controlConn {
		return keepaliveDuringCalls
	}
	return keepaliveAlways
}

// peerConns holds the connections to one host.
type peerConns struct {
	lastDataConn atomic.Uint32

	mu     sync.Mutex
	conns  [1 + dataConnCount]*conn
	closed bool
}

// get returns the connection with the index, or nil if there is none or it is broken.
func (p *peerConns) get(index connIndex) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.conns[index]; current != nil && !current.broken.Load() {
		return current
	}
	return nil
}

// put stores a connection. It returns false after close, when the connection is not stored.
func (p *peerConns) put(index connIndex, opened *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[index] = opened
	return true
}

func (p *peerConns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, connection := range p.conns {
		if connection != nil {
			connection.close()
		}
	}
}

// NewClient returns a client that opens connections from the local IP address.
func NewClient(local netip.Addr, resolve Resolver) *Client {
	return &Client{local: local, resolve: resolve, dialTimeoutBase: dialTimeoutBase, connsByHost: map[string]*peerConns{}}
}

// Bytes returns how many bytes were sent and received on connections that this process opened.
func (c *Client) Bytes() (sent, received uint64) {
	return c.traffic.sent.Load(), c.traffic.received.Load()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.connsByHost {
		p.close()
	}
}

// Forget closes and removes the connections to a host that is no longer configured.
func (c *Client) Forget(host string) {
	c.mu.Lock()
	p := c.connsByHost[host]
	delete(c.connsByHost, host)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

func (c *Client) connsTo(host string) *peerConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.connsByHost[host]
	if p == nil {
		p = &peerConns{}
		c.connsByHost[host] = p
	}
	return p
}

// connTo returns the connection with the index to a host, and opens it if there is none. Callers that need the same
// connection share one dial; otherwise a burst of requests would open one connection each.
func (c *Client) connTo(ctx context.Context, host string, index connIndex) (*conn, error) {
	p := c.connsTo(host)
	if current := p.get(index); current != nil {
		return current, nil
	}
	dialResults := c.dials.DoChan(fmt.Sprintf("%s/%d", host, index), func() (any, error) { return c.dial(host, p, index) })
	select {
	case dialResult := <-dialResults:
		if dialResult.Err != nil {
			return nil, dialResult.Err
		}
		return dialResult.Val.(*conn), nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// dial opens the connection with the index. It has its own timeout, since callers with different deadlines wait for it.
func (c *Client) dial(host string, p *peerConns, index connIndex) (*conn, error) {
	if current := p.get(index); current != nil {
		return current, nil
	}
	address, oneWay, known := c.resolve(host)
	if !known {
		return nil, Error.New("host %q is not configured", host)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.dialTimeoutBase+dialTimeoutTrips*oneWay)
	defer cancel()
	opened, err := dial(ctx, c.local, address, &c.traffic, index.keepaliveMode())
	if err != nil {
		return nil, err
	}
	if !p.put(index, opened) {
		opened.close()
		return nil, Error.New("host %q was removed from the configuration", host)
	}
	return opened, nil
}

// OpenConnections starts to open the connections that carry requests to a host, and does not wait for them. Opening takes two
// round trips, for which the first requests to another region would otherwise wait.
func (c *Client) OpenConnections(ctx context.Context, host string) {
	for index := connIndex(1); index <= dataConnCount; index++ {
		go func() { _, _ = c.connTo(ctx, host, index) }()
	}
}

// nextDataConn chooses the connections that carry requests in round-robin order.
func (c *Client) nextDataConn(host string) connIndex {
	return connIndex(1 + c.connsTo(host).lastDataConn.Add(1)%dataConnCount)
}

// callControl makes a control call. The called method must be idempotent.
func (c *Client) callControl(ctx context.Context, host, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	connection, err := c.connTo(ctx, host, controlConn)
	if err != nil {
		return err
	}
	return Error.Wrap(connection.call(ctx, method, args, reply))
}

// Heartbeat exchanges heartbeats with a host.
func (c *Client) Heartbeat(ctx context.Context, host string, heartbeat membership.Heartbeat) (membership.Heartbeat, error) {
	var reply HeartbeatMessage
	err := c.callControl(ctx, host, "Heartbeat", NewHeartbeatMessage(heartbeat), &reply)
	return reply.Heartbeat(), err
}

// Join asks a host not to use the slots of this process.
func (c *Client) Join(ctx context.Context, host string, request slots.JoinRequest) (slots.JoinReply, error) {
	var reply slots.JoinReply
	err := c.callControl(ctx, host, "Join", request, &reply)
	return reply, err
}

// Goodbye sends the departure notice: this process no longer uses slots. It reports whether the host accepted the notice.
func (c *Client) Goodbye(ctx context.Context, host string, from Identity) (bool, error) {
	goodbye := Goodbye{From: from}
	if err := c.callControl(ctx, host, "Ticket", from.Host, &goodbye.Ticket); err != nil {
		return false, err
	}
	accepted := false
	err := c.callControl(ctx, host, "Goodbye", goodbye, &accepted)
	return accepted, err
}

// Grant asks a host for capacity.
func (c *Client) Grant(ctx context.Context, host string, request grants.Request) (grants.Grant, error) {
	var reply grants.Grant
	err := c.callControl(ctx, host, "Grant", request, &reply)
	return reply, err
}

// Head implements config.PeerSource.
func (c *Client) Head(ctx context.Context, host string) (config.Head, error) {
	var reply config.Head
	err := c.callControl(ctx, host, "ConfigHead", Empty{}, &reply)
	return reply, err
}

// Part implements config.PeerSource.
func (c *Client) Part(ctx context.Context, host string, digest config.Digest) ([]byte, error) {
	var reply PartReply
	if err := c.callControl(ctx, host, "ConfigPart", digest, &reply); err != nil {
		return nil, err
	}
	if !reply.Found {
		return nil, Error.New("host %q does not have part %s", host, digest)
	}
	return reply.Part, nil
}

// Summaries exchanges summaries of failure domains with a host.
func (c *Client) Summaries(ctx context.Context, host string, exchange SummaryExchange) (SummaryReply, error) {
	var reply SummaryReply
	err := c.callControl(ctx, host, "Summaries", exchange, &reply)
	return reply, err
}

// ForwardTo forwards a request to another entry host. If the connection breaks, it repeats the request only to the same
// incarnation, which recognizes the request id. Failures: ConnectFailed (nothing was sent), PeerLost and AttemptTimeout
// (the outcome is unknown).
func (c *Client) ForwardTo(ctx context.Context, host string, request *forward.Request) (*forward.Response, *result.Failure) {
	index := c.nextDataConn(host)
	first, err := c.connTo(ctx, host, index)
	if err != nil {
		return nil, result.Fail(result.ConnectFailed, "entry host %s: %v", host, err)
	}
	connection := first
	for repeated := false; ; repeated = true {
		response, err := c.forwardOnce(ctx, host, connection, request)
		switch {
		case err == nil && repeated && request.Repeatable && response.Code.NotRun():
			// The peer runs a repeatable request again without checking its id. The rejection applies only to the repeat.
			return nil, result.Fail(result.PeerLost, "entry host %s was lost during the request and refused the repeat: %s", host, response.Message)
		case err == nil:
			return response, nil
		case ctx.Err() != nil:
			go cancelRequest(connection, request.ID)
			return nil, result.Fail(result.AttemptTimeout, "entry host %s did not answer in time", host)
		case !errors.Is(err, errConnectionBroken):
			return nil, result.Fail(result.PeerLost, "entry host %s: %v", host, err)
		}
		connection, err = c.connTo(ctx, host, index)
		if err != nil || connection.identity != first.identity {
			return nil, result.Fail(result.PeerLost, "entry host %s was lost during the request", host)
		}
	}
}

func (c *Client) forwardOnce(ctx context.Context, host string, connection *conn, request *forward.Request) (*forward.Response, error) {
	message := *request
	message.Timeout = c.peerTimeout(ctx, host, request.Timeout)
	response := &forward.Response{}
	err := connection.call(ctx, "Forward", &message, response)
	return response, err
}

// peerTimeout returns the timeout for the peer, such that its response arrives before the deadline of ctx.
func (c *Client) peerTimeout(ctx context.Context, host string, limit time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	_, oneWay, _ := c.resolve(host)
	return max(limit-2*oneWay-responseMargin, time.Millisecond)
}

func cancelRequest(connection *conn, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_ = connection.call(ctx, "Cancel", CancelRequest{RequestID: requestID}, &Empty{})
}
