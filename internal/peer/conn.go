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

// errBroken marks a call whose connection broke after the call may have reached the peer.
var errBroken = errors.New("connection broke during the call")

// probing says when a connection checks that its path is not silent.
type probing bool

const (
	// always is for connections with requests, which must not meet a silent connection.
	always probing = false
	// whileWaiting is for control connections. In a failure domain of 27 hosts each host has one to 26 peers, and keepalives
	// on all of them each second would be a large part of its bytes. A control call that is lost is made again.
	whileWaiting probing = true
)

// conn is one connection to a peer. A keepalive closes it when the peer or the path has gone silent, which
// fails the calls that wait on it.
type conn struct {
	client   *rpc.Client
	identity Identity
	broken   atomic.Bool
	stop     chan struct{}
	probing  probing
	// waiting is the number of calls that wait for a reply, without keepalives.
	waiting atomic.Int32
}

// dial opens a connection within the time of ctx and asks the peer who it is.
func dial(ctx context.Context, local netip.Addr, address netip.AddrPort, count *byteCount, when probing) (*conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: local.AsSlice()}}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &conn{client: rpc.NewClient(guard.LimitMessages(countedConn{raw, count}, mostMessage)), stop: make(chan struct{}), probing: when}
	if err := c.call(ctx, "Hello", Empty{}, &c.identity); err != nil {
		c.close()
		return nil, Error.Wrap(err)
	}
	go c.keepalive()
	return c, nil
}

// call runs one method and waits for its reply or the end of ctx.
func (c *conn) call(ctx context.Context, method string, args, reply any) error {
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	return c.exchange(ctx, method, args, reply)
}

// exchange is call for keepalives too.
func (c *conn) exchange(ctx context.Context, method string, args, reply any) error {
	call := c.client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	var fromPeer rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &fromPeer) {
		c.close()
		return errBroken
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
		if c.probing == whileWaiting && c.waiting.Load() == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), keepaliveTimeout)
		err := c.exchange(ctx, "Hello", Empty{}, &Identity{})
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

// byteCount counts the bytes that a process sends to and receives from its peers.
type byteCount struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

type countedConn struct {
	net.Conn
	count *byteCount
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.sent.Add(uint64(n))
	return n, err
}
