package entry

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/shutdown"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// stopPollInterval is the time between two rounds of departure notices to all peers of the failure domain, and between
	// two polls for running forwarded requests.
	stopPollInterval = 50 * time.Millisecond
	// responseWriteTime is the time that net/rpc has to write a response after its handler has returned. net/rpc does not
	// report when the response is written.
	responseWriteTime = 100 * time.Millisecond
	// departureNoticeTimeout bounds the time for departure notices. Without the notice the peers wait for the platform's host
	// list before they use the slots of this host.
	departureNoticeTimeout = 3 * time.Second
)

// stop stops the process in an order that interrupts no request: it leaves the look-up responses, continues to serve while
// callers may use cached look-up responses, waits for the running requests to complete, and hands its slots over to its peers.
func (e *Entry) stop() {
	started := time.Now()
	e.cluster.setLeaving()
	e.callerServer.AnnounceClose()
	lookupWait := e.maxLookupTTL() + lookupExpiryMargin
	e.log.Info().Dur("wait", lookupWait).Msg("leaving")
	exitBy := started.Add(e.settings.Limits.StopTimeout())
	e.stopPlan.Store(&shutdown.Plan{LateFrom: started.Add(lookupWait), AnswerBy: exitBy.Add(-responseWriteTime), ExitBy: exitBy})
	ctx, cancel := context.WithDeadline(context.Background(), exitBy)
	defer cancel()
	e.sendHeartbeats(ctx)
	e.sendSummaries(ctx)
	wait.For(ctx, lookupWait)
	if err := e.callerServer.Drain(ctx); err != nil {
		e.log.Warn().Err(err).Msg("requests_cut")
	}
	e.closing.Store(true)
	e.waitForForwards(ctx)
	e.notifyDeparture(ctx)
	if err := e.adminServer.Drain(ctx); err != nil {
		e.log.Warn().Err(err).Msg("operator_requests_cut")
	}
	e.log.Info().Dur("took", time.Since(started)).Msg("stopped")
}

// waitForForwards waits until the requests that other hosts forwarded to this one have completed and their responses are written.
func (e *Entry) waitForForwards(ctx context.Context) {
	for e.activeForwards.Load() > 0 && ctx.Err() == nil {
		wait.For(ctx, stopPollInterval)
	}
	wait.For(ctx, responseWriteTime)
}

// maxLookupTTL returns the longest time for which a caller may use a look-up response that names this host.
func (e *Entry) maxLookupTTL() time.Duration {
	longest := time.Duration(0)
	if snapshot := e.config.Snapshot(); snapshot != nil {
		for i := range snapshot.Document.Services {
			longest = max(longest, snapshot.Document.Services[i].LookupTTL())
		}
	}
	return longest
}

// notifyDeparture sends departure notices, which hand the slots over to the peers, once no request uses the slots.
func (e *Entry) notifyDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureNoticeTimeout)
	defer cancel()
	unacknowledged := e.cluster.reachablePeerIDs(time.Now())
	for len(unacknowledged) > 0 && ctx.Err() == nil {
		if e.cluster.stopTakingSlotsIfIdle(time.Now()) {
			unacknowledged = e.sendDepartureNotices(ctx, unacknowledged)
		}
		wait.For(ctx, stopPollInterval)
	}
	if len(unacknowledged) > 0 {
		e.log.Warn().Strs("peers", unacknowledged).Msg("goodbye_not_acknowledged")
	}
}

// sendDepartureNotices sends a departure notice to each peer and returns the peers that have not acknowledged it.
func (e *Entry) sendDepartureNotices(ctx context.Context, peers []string) []string {
	var unacknowledged []string
	for _, id := range peers {
		acknowledged, err := e.peers.Goodbye(ctx, id, e.cluster.identity())
		if err != nil || !acknowledged {
			unacknowledged = append(unacknowledged, id)
		}
	}
	return unacknowledged
}

// reachablePeerIDs returns the reachable peers of the failure domain.
func (c *cluster) reachablePeerIDs(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, m := range c.table.Members(now) {
		if m.ID != c.self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// stopTakingSlotsIfIdle reports whether this host is leaving, none of its slots is in use, and the requests of earlier processes
// of this host have completed. Once it has returned true, this host takes no more slots.
func (c *cluster) stopTakingSlotsIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == membership.Leaving && c.tracker.TryDepart(now)
}
