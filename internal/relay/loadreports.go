package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/placement"
)

const (
	// loadServiceName is the name under which load reports are received. Hosts of earlier builds do not have it.
	loadServiceName = "Load"
	// minLoadPeers and maxLoadPeers limit the number of hosts to which a host sends each message, and maxSentReports that of the reports to all
	// of them. A report takes 14 bytes and a message 35 more: four messages a second of this size, sent and received, stay below the 14 KB a
	// second that a host may use for control. With 27 hosts in a failure domain, a message to each of them would not.
	minLoadPeers   = 2
	maxLoadPeers   = 12
	maxSentReports = 60
	// loadDialTimeout limits the opening of a connection, and loadDialInterval is the time between two attempts to open one to the same host.
	loadDialTimeout  = 500 * time.Millisecond
	loadDialInterval = 3 * time.Second
	// loadCallTimeout is the time without a reply after which the connection is closed.
	loadCallTimeout = 2 * time.Second
	// maxLoadReplyBytes limits a reply, which is empty.
	maxLoadReplyBytes = 1 << 10
)

// LoadArgs holds the load reports that a host has received from servers.
type LoadArgs struct{ Reports []placement.SharedReport }

// LoadReply is empty. It shows that the receiver has read the message.
type LoadReply struct{}

// LoadReceiver handles the load reports of another host.
type LoadReceiver func(reports []placement.SharedReport)

// loadService implements the net/rpc method for load reports.
type loadService struct {
	receive LoadReceiver
	log     zerolog.Logger
}

// Publish serves one message.
func (s *loadService) Publish(args LoadArgs, _ *LoadReply) (err error) {
	defer guard.RecoverError(s.log, "load reports", &err)
	s.receive(args.Reports)
	return nil
}

// LoadPublisher sends load reports to other hosts. A message that cannot be sent at once is dropped, since the next one replaces it. It is safe
// for concurrent use.
type LoadPublisher struct {
	log zerolog.Logger

	mu    sync.Mutex
	peers map[netip.AddrPort]*loadPeer
}

// loadPeer is the connection to another host.
type loadPeer struct {
	// client is nil while there is no connection. dialedAt is the time of the latest attempt to open one.
	client   *rpc.Client
	dialedAt time.Time
	// call is the latest message, sentAt its time. It is nil once there is a reply.
	call   *rpc.Call
	sentAt time.Time
}

// NewLoadPublisher returns a publisher without connections.
func NewLoadPublisher(log zerolog.Logger) *LoadPublisher {
	return &LoadPublisher{log: log, peers: map[netip.AddrPort]*loadPeer{}}
}

// Publish sends reports to some of the hosts, chosen at random, and closes the connections to hosts that are not listed.
func (p *LoadPublisher) Publish(hosts []*catalog.Host, reports []placement.SharedReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[netip.AddrPort]bool, len(hosts))
	for _, h := range hosts {
		listed[h.PeerAddress] = true
	}
	for address, peer := range p.peers {
		if !listed[address] {
			peer.close()
			delete(p.peers, address)
		}
	}
	count := max(minLoadPeers, min(maxLoadPeers, maxSentReports/max(1, len(reports))))
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), count)] {
		p.sendLocked(hosts[i].PeerAddress, reports, now)
	}
}

// sendLocked sends reports to a host unless its connection is busy. The caller holds the lock.
func (p *LoadPublisher) sendLocked(address netip.AddrPort, reports []placement.SharedReport, now time.Time) {
	peer := p.peers[address]
	if peer == nil {
		peer = &loadPeer{}
		p.peers[address] = peer
	}
	if peer.client == nil {
		if now.Sub(peer.dialedAt) >= loadDialInterval {
			peer.dialedAt = now
			go p.connect(address, peer)
		}
		return
	}
	if !peer.isIdle(now) {
		return
	}
	if peer.client != nil {
		peer.call, peer.sentAt = peer.client.Go(loadServiceName+".Publish", LoadArgs{reports}, &LoadReply{}, make(chan *rpc.Call, 1)), now
	}
}

// connect opens the connection to a host.
func (p *LoadPublisher) connect(address netip.AddrPort, peer *loadPeer) {
	ctx, cancel := context.WithTimeout(context.Background(), loadDialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		p.log.Debug().Str("host", address.String()).Err(err).Msg("load_reports_not_sent")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] != peer {
		_ = conn.Close()
		return
	}
	peer.client = rpc.NewClient(guard.LimitMessages(conn, maxLoadReplyBytes))
}

// isIdle reports whether the latest message has been received. It closes the connection if the message failed or has no reply in time.
func (p *loadPeer) isIdle(now time.Time) bool {
	if p.call == nil {
		return true
	}
	select {
	case <-p.call.Done:
		if p.call.Error != nil {
			p.close()
			return false
		}
		p.call = nil
		return true
	default:
		if now.Sub(p.sentAt) > loadCallTimeout {
			p.close()
		}
		return false
	}
}

func (p *loadPeer) close() {
	if p.client != nil {
		_ = p.client.Close()
	}
	p.client, p.call = nil, nil
}

// Close closes all connections.
func (p *LoadPublisher) Close() { p.Publish(nil, nil, time.Time{}) }
