package gateway

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/relay"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

// loadInterval is the time between two messages with load reports. It is half of the time in which a report decays.
const loadInterval = 250 * time.Millisecond

// receiveLoad records the load reports of another host.
func (g *Gateway) receiveLoad(reports []placement.SharedReport) {
	g.withTable(func(t *placement.Table) { t.ReceiveReports(reports, time.Now()) })
}

// publishLoad sends the load reports that this host receives to the other hosts of its failure domain, until ctx is done.
func (g *Gateway) publishLoad(ctx context.Context) {
	publisher := relay.NewLoadPublisher(g.log)
	defer publisher.Close()
	for wait.For(ctx, loadInterval); ctx.Err() == nil; wait.For(ctx, loadInterval) {
		now := time.Now()
		var reports []placement.SharedReport
		g.withTable(func(t *placement.Table) { reports = t.TakeReports(now) })
		if len(reports) > 0 {
			publisher.Publish(g.peersInDomain(), reports, now)
		}
	}
}

// peersInDomain returns the other hosts of the own failure domain.
func (g *Gateway) peersInDomain() []*catalog.Host {
	var list []*catalog.Host
	for id, h := range g.follower.View().Hosts {
		if h.FailureDomain == g.self.FailureDomain && id != g.self.ID {
			list = append(list, h)
		}
	}
	return list
}
