package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// distanceInterval is the time between two measurements of the way to the other failure domains.
	distanceInterval = 10 * time.Second
	// firstDistances is the time between two measurements until all failure domains are known.
	firstDistances = 700 * time.Millisecond
	// distanceTimeout bounds one measurement.
	distanceTimeout = time.Second
)

// measureDistances opens a connection to one entry host of each failure domain now and then. Connections to backend servers
// would take their slots and are paid for.
func (g *Gateway) measureDistances(ctx context.Context) {
	known := map[string]bool{}
	for ctx.Err() == nil {
		for domain, hosts := range g.hostsByDomain() {
			if g.measureDistance(ctx, domain, hosts[rand.IntN(len(hosts))]) {
				known[domain] = true
			}
		}
		interval := firstDistances
		if len(known) >= len(g.settings.FailureDomains) {
			interval = distanceInterval
		}
		wait.For(ctx, interval)
	}
}

func (g *Gateway) hostsByDomain() map[string][]*catalog.Host {
	domains := map[string][]*catalog.Host{}
	for _, h := range g.follower.View().Hosts {
		domains[h.FailureDomain] = append(domains[h.FailureDomain], h)
	}
	return domains
}

func (g *Gateway) measureDistance(ctx context.Context, domain string, host *catalog.Host) bool {
	dialer := net.Dialer{Timeout: distanceTimeout}
	started := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp", host.CallerAddress.String())
	if err != nil {
		g.log.Debug().Str("host", host.ID).Err(err).Msg("distance_unknown")
		return false
	}
	took := time.Since(started)
	_ = conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ObserveRoundTrip(domain, took)
	return true
}
