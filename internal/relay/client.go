package relay

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"

	"github.com/foxtailtack/foxtailtack/internal/guard"
)

// call makes one call and returns the number of bytes that were received during it.
func (s *Source) call(ctx context.Context, address netip.AddrPort, args WatchArgs, reply *WatchReply) (int64, error) {
	client, err := s.client(ctx, address)
	if err != nil {
		return 0, err
	}
	before := client.received.Load()
	call := client.Go(serviceName+".Watch", args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	return client.received.Load() - before, err
}

// peerClient is an open connection to another host.
type peerClient struct {
	*rpc.Client
	// received is the number of bytes received so far.
	received *atomic.Int64
}

// countingConn counts the bytes that it reads.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// client returns the open connection to another host, or opens one.
func (s *Source) client(ctx context.Context, address netip.AddrPort) (*peerClient, error) {
	s.mu.Lock()
	client := s.clients[address]
	s.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := s.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: conn}
	client = &peerClient{rpc.NewClient(guard.LimitMessages(counted, maxResponseBytes)), &counted.received}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[address] = client
	return client, nil
}
