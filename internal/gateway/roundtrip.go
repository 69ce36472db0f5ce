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
	// roundTripInterval is the time between two measurements of the round trips to the failure domains.
	roundTripInterval = 10 * time.Second
	// initialRoundTripInterval is used until the round trips to all failure domains are known.
	initialRoundTripInterval = 700 * time.Millisecond
	// roundTripTimeout bounds one measurement.
	roundTripTimeout = time.Second
)

// measureRoundTrips periodically measures the time that it takes to open a connection to one entry host of each failure domain. It
// does not connect to backend servers, because such connections occupy their slots and are paid for.
func (g *Gateway) measureRoundTrips(ctx context.Context) {
	known := map[string]bool{}
	for ctx.Err() == nil {
		for domain, hosts := range g.hostsByDomain() {
			if g.measureRoundTrip(ctx, domain, hosts[rand.IntN(len(hosts))]) {
				known[domain] = true
			}
		}
		interval := initialRoundTripInterval
		if len(known) >= len(g.settings.FailureDomains) {
			interval = roundTripInterval
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

func (g *Gateway) measureRoundTrip(ctx context.Context, domain string, host *catalog.Host) bool {
	dialer := net.Dialer{Timeout: roundTripTimeout}
	started := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp", host.CallerAddress.String())
	if err != nil {
		g.log.Debug().Str("host", host.ID).Err(err).Msg("distance_unknown")
		return false
	}
	roundTrip := time.Since(started)
	_ = conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ObserveRoundTrip(domain, roundTrip)
	return true
}
