package relay

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/usagecap"
)

const (
	// usageServiceName is the name under which reports of usage are received. Hosts of earlier builds do not have it.
	usageServiceName = "Usage"
	// maxUsageReplyBytes limits a reply, which has about 12 bytes for each customer.
	maxUsageReplyBytes = 64 << 10
	// usageIdleTime is the time after which an unused connection for reports is closed.
	usageIdleTime = 30 * time.Second
)

// UsageReceiver handles the reports of usage of other hosts.
type UsageReceiver interface {
	AcceptUsage(report *usagecap.Report) (usagecap.Reply, error)
}

// usageService implements the net/rpc methods for usage.
type usageService struct {
	receiver UsageReceiver
	log      zerolog.Logger
}

// Report serves one report.
func (s *usageService) Report(report usagecap.Report, reply *usagecap.Reply) (err error) {
	defer guard.RecoverError(s.log, "usage report", &err)
	*reply, err = s.receiver.AcceptUsage(&report)
	return err
}

// UsageClient sends reports of usage to other hosts. It is safe for concurrent use.
type UsageClient struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[netip.AddrPort]*usageConnection
}

type usageConnection struct {
	client *rpc.Client
	usedAt time.Time
}

// NewUsageClient returns a client without connections. If dial is nil, connections are opened with net.Dialer.
func NewUsageClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *UsageClient {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &UsageClient{dial: dial, clients: map[netip.AddrPort]*usageConnection{}}
}

// Report sends a report and waits for the reply until ctx is done. After an error the next report uses a new connection.
func (c *UsageClient) Report(ctx context.Context, address netip.AddrPort, report *usagecap.Report) (*usagecap.Reply, error) {
	client, err := c.connection(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	reply := &usagecap.Reply{}
	call := client.Go(usageServiceName+".Report", report, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		c.close(address, client)
		// The call may still write to reply.
		return nil, Error.Wrap(err)
	}
	return reply, nil
}

func (c *UsageClient) connection(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	now := time.Now()
	c.mu.Lock()
	for other, open := range c.clients {
		if other != address && now.Sub(open.usedAt) > usageIdleTime {
			_ = open.client.Close()
			delete(c.clients, other)
		}
	}
	if open := c.clients[address]; open != nil {
		open.usedAt = now
		c.mu.Unlock()
		return open.client, nil
	}
	c.mu.Unlock()
	conn, err := c.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(guard.LimitMessages(conn, maxUsageReplyBytes))
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.clients[address]; open != nil {
		_ = client.Close()
		return open.client, nil
	}
	c.clients[address] = &usageConnection{client, now}
	return client, nil
}

func (c *UsageClient) close(address netip.AddrPort, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.clients[address]; open != nil && open.client == client {
		delete(c.clients, address)
	}
	_ = client.Close()
}

// Close closes all connections.
func (c *UsageClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, open := range c.clients {
		_ = open.client.Close()
		delete(c.clients, address)
	}
}
