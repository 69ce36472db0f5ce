package entry

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// sendSummaries exchanges summaries of failure domains. A delegate does so with one host of each other failure domain; any
// other host asks a delegate of its own.
func (e *Entry) sendSummaries(ctx context.Context) {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return
	}
	exchange, targets := e.cluster.summaryExchange(snapshot, time.Now())
	for _, target := range targets {
		e.background(func(context.Context) {
			reply, err := e.peers.Summaries(ctx, target, exchange)
			if err != nil {
				e.log.Debug().Str("peer", target).Err(err).Msg("summaries_failed")
				return
			}
			e.observeSummaries(reply.Summaries, time.Now())
		})
	}
}

// exchangeSummaries answers another host's exchange. A delegate of another failure domain also gets the summary of this one.
func (e *Entry) exchangeSummaries(exchange peer.SummaryExchange, now time.Time) peer.SummaryReply {
	if exchange.Own != nil {
		e.observeSummaries([]membership.Summary{*exchange.Own}, now)
	}
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	summaries := e.cluster.table.SummariesNewerThan(exchange.Known, now)
	if exchange.Own != nil {
		summaries = []membership.Summary{e.cluster.table.Summary(now)}
	}
	return peer.SummaryReply{Summaries: summaries}
}

// observeSummaries takes in summaries, and pulls the configuration from a member that has a higher version.
func (e *Entry) observeSummaries(summaries []membership.Summary, now time.Time) {
	for _, s := range summaries {
		if !e.cluster.observeSummary(s, now) {
			continue
		}
		if id, version := highest(s); id != "" {
			e.learn(id, version)
		}
	}
}

func highest(s membership.Summary) (string, policy.Version) {
	id, version := "", policy.Version(0)
	for _, m := range s.Members {
		if m.ConfigVersion > version {
			id, version = m.ID, m.ConfigVersion
		}
	}
	return id, version
}

// summaryExchange returns the next exchange of summaries and the hosts to have it with. A delegate sends its summary and
// gets one back, so it need not say which ones it has: with 18 failure domains that list is longer than a small summary.
// Any other host says what it has to one delegate, chosen at random so that both carry half of these exchanges.
func (c *cluster) summaryExchange(snapshot *policy.Snapshot, now time.Time) (peer.SummaryExchange, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delegates := c.table.Delegates(now)
	if !slices.Contains(delegates, c.self) {
		exchange := peer.SummaryExchange{Known: c.table.SummaryVersions(now)}
		if len(delegates) == 0 {
			return exchange, nil
		}
		return exchange, []string{delegates[c.rng.IntN(len(delegates))]}
	}
	heard := map[string]string{}
	for _, s := range c.table.Remote(now) {
		heard[s.FailureDomain] = s.Origin
	}
	var targets []string
	for _, d := range snapshot.Document.FailureDomains {
		if d.Name == c.domain {
			continue
		}
		if target := c.chooseIn(snapshot.HostsIn(d.Name), heard[d.Name]); target != "" {
			targets = append(targets, target)
		}
	}
	own := c.table.Summary(now)
	return peer.SummaryExchange{Own: &own}, targets
}

// chooseIn returns the host of another failure domain to exchange with: mostly the delegate that was heard, and sometimes any
// host, so that a failure domain is found again whose delegate was replaced.
func (c *cluster) chooseIn(hosts []string, heard string) string {
	if len(hosts) == 0 {
		return ""
	}
	if heard != "" && c.rng.IntN(exploreOneIn) > 0 {
		return heard
	}
	return hosts[c.rng.IntN(len(hosts))]
}

// exploreOneIn is the number of exchanges of which one goes to a random host.
const exploreOneIn = 8
