package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/guard"
)

// errConnectionBroken means that the connection broke during a call, which may have reached the peer.
var errConnectionBroken = errors.New("connection broke during the call")

// keepaliveMode determines when a connection sends keepalives to detect an unresponsive peer or path.
type keepaliveMode bool

const (
	// keepaliveAlways is for connections that carry requests, since a request must not be sent on an unresponsive
	// connection.
	keepaliveAlways keepaliveMode = false
	// keepaliveDuringCalls is for control connections. In a failure domain of 27 hosts each host has one to 26 peers, and
	// a keepalive on each of these connections every second would be a large part of its traffic. A control call that is
	// lost is repeated.
	keepaliveDuringCalls keepaliveMode = true
)

// conn is one connection to a peer. The keepalive closes it when the peer or the path is unresponsive, so that the
// calls that wait on it fail.
type conn struct {
	client        *rpc.Client
	identity      Identity
	broken        atomic.Bool
	stop          chan struct{}
	keepaliveMode keepaliveMode
	// callsInProgress is the number of calls that wait for a reply, not counting keepalives.
	callsInProgress atomic.Int32
}

// dial opens a connection before ctx is done and gets the identity of the peer.
func dial(ctx context.Context, local netip.Addr, address netip.AddrPort, traffic *trafficCounter, mode keepaliveMode) (*conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: local.AsSlice()}}
	netConn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &conn{client: rpc.NewClient(guard.LimitMessages(countedConn{netConn, traffic}, maxMessageBytes)), stop: make(chan struct{}), keepaliveMode: mode}
	if err := c.call(ctx, "Hello", Empty{}, &c.identity); err != nil {
		c.close()
		return nil, Error.Wrap(err)
	}
	go c.keepalive()
	return c, nil
}

// call calls one method and waits for the reply or until ctx is done.
func (c *conn) call(ctx context.Context, method string, args, reply any) error {
	c.callsInProgress.Add(1)
	defer c.callsInProgress.Add(-1)
	return c.callUncounted(ctx, method, args, reply)
}

// callUncounted is call without counting in callsInProgress, for keepalives.
func (c *conn) callUncounted(ctx context.Context, method string, args, reply any) error {
	call := c.client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	var serverError rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverError) {
		c.close()
		return errConnectionBroken
	}
	return call.Error
}

func (c *conn) keepalive() {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		if c.keepaliveMode == keepaliveDuringCalls && c.callsInProgress.Load() == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), keepaliveTimeout)
		err := c.callUncounted(ctx, "Hello", Empty{}, &Identity{})
		cancel()
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *conn) close() {
	if c.broken.CompareAndSwap(false, true) {
		close(c.stop)
		_ = c.client.Close()
	}
}

// trafficCounter counts the bytes that a process sends to and receives from its peers.
type trafficCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

type countedConn struct {
	net.Conn
	traffic *trafficCounter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
