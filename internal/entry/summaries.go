package entry

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// sendSummaries exchanges summaries of failure domains. A delegate exchanges them with one host of each other failure domain;
// any other host exchanges them with a delegate of its own failure domain.
func (e *Entry) sendSummaries(ctx context.Context) {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return
	}
	exchange, targets := e.cluster.summaryExchange(snapshot, time.Now())
	for _, target := range targets {
		e.runInBackground(func(context.Context) {
			reply, err := e.peers.Summaries(ctx, target, exchange)
			if err != nil {
				e.log.Debug().Str("peer", target).Err(err).Msg("summaries_failed")
				return
			}
			e.observeSummaries(reply.Summaries, time.Now())
		})
	}
}

// handleSummaryExchange handles the exchange of another host. A delegate of another failure domain receives the summary of this
// failure domain; a host of the own failure domain receives the summaries that are newer than the ones it knows.
func (e *Entry) handleSummaryExchange(exchange peer.SummaryExchange, now time.Time) peer.SummaryReply {
	if exchange.Own != nil {
		e.observeSummaries([]membership.Summary{*exchange.Own}, now)
	}
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	summaries := e.cluster.table.SummariesOtherThan(exchange.Known, now)
	if exchange.Own != nil {
		summaries = []membership.Summary{e.cluster.table.Summary(now)}
	}
	return peer.SummaryReply{Summaries: summaries}
}

// observeSummaries applies summaries, and pulls the configuration from a member that has a higher version.
func (e *Entry) observeSummaries(summaries []membership.Summary, now time.Time) {
	for _, s := range summaries {
		if !e.cluster.observeSummary(s, now) {
			continue
		}
		if id, version := highestConfigVersion(s); id != "" {
			e.pullConfig(id, version)
		}
	}
}

func highestConfigVersion(s membership.Summary) (string, policy.Version) {
	id, version := "", policy.Version(0)
	for _, m := range s.Members {
		if m.ConfigVersion > version {
			id, version = m.ID, m.ConfigVersion
		}
	}
	return id, version
}

// summaryExchange returns the next exchange of summaries and the hosts to send it to. A delegate sends its own summary and
// receives one, so it omits the list of summaries that it knows: with 18 failure domains that list is longer than a small
// summary. Any other host sends its list to one delegate, chosen at random so that each delegate handles half of these
// exchanges.
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
	origins := map[string]string{}
	for _, s := range c.table.RemoteSummaries(now) {
		origins[s.FailureDomain] = s.Origin
	}
	var targets []string
	for _, d := range snapshot.Document.FailureDomains {
		if d.Name == c.domain {
			continue
		}
		if target := c.chooseExchangeTarget(snapshot.HostsIn(d.Name), origins[d.Name]); target != "" {
			targets = append(targets, target)
		}
	}
	own := c.table.Summary(now)
	return peer.SummaryExchange{Own: &own}, targets
}

// chooseExchangeTarget returns the host of another failure domain to exchange summaries with: usually lastOrigin, the delegate
// that made the last known summary, and sometimes any host, so that the exchange recovers after that delegate was replaced.
func (c *cluster) chooseExchangeTarget(hosts []string, lastOrigin string) string {
	if len(hosts) == 0 {
		return ""
	}
	if lastOrigin != "" && c.rng.IntN(randomTargetOneIn) > 0 {
		return lastOrigin
	}
	return hosts[c.rng.IntN(len(hosts))]
}

// randomTargetOneIn is the average number of exchanges of which one goes to a random host.
const randomTargetOneIn = 8
