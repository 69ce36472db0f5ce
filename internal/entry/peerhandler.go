package entry

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/grants"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// peerHandler handles the calls of other entry hosts.
type peerHandler struct{ entry *Entry }

// Identity implements peer.Handler.
func (h peerHandler) Identity() peer.Identity { return h.entry.cluster.identity() }

// Heartbeat implements peer.Handler.
func (h peerHandler) Heartbeat(heartbeat membership.Heartbeat) membership.Heartbeat {
	now := time.Now()
	h.entry.observeHeartbeat(heartbeat, now)
	reply := h.entry.cluster.heartbeatReply(now)
	reply.Suspects = h.entry.registry.Suspects()
	return reply
}

// Join implements peer.Handler.
func (h peerHandler) Join(request slots.JoinRequest) slots.JoinReply {
	reply := h.entry.cluster.handleJoin(request, time.Now())
	// The slots that the peer takes over reduce this host's part of the caps of shifts. While more shifted requests run here
	// than the reduced part allows, these and the requests in the peer's part would together exceed the cap.
	reply.Acknowledged = reply.Acknowledged && h.entry.updateAndCheckShiftCaps()
	return reply
}

// Ticket implements peer.Handler.
func (h peerHandler) Ticket(from string) slots.Ticket {
	c := h.entry.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.IssueTicket(from, time.Now())
}

// Goodbye implements peer.Handler.
func (h peerHandler) Goodbye(goodbye peer.Goodbye) bool {
	c := h.entry.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Goodbye(goodbye.From.Host, goodbye.From.Incarnation, goodbye.Ticket, time.Now())
}

// Grant implements peer.Handler.
func (h peerHandler) Grant(request grants.Request) grants.Grant {
	return h.entry.grants.issue(request, time.Now())
}

// Forward implements peer.Handler.
func (h peerHandler) Forward(ctx context.Context, request *forward.Request) *forward.Response {
	deadline, _ := ctx.Deadline()
	if h.entry.closing.Load() || !h.entry.stopPlan.Load().MayStart(deadline, time.Now()) {
		return forward.FailureResponse(result.Fail(result.HostLeaving, "entry host %s is stopping", h.entry.settings.HostID))
	}
	return h.entry.handleForwarded(ctx, request)
}

// ConfigHead implements peer.Handler.
func (h peerHandler) ConfigHead() config.Head { return h.entry.config.Head() }

// ConfigPart implements peer.Handler.
func (h peerHandler) ConfigPart(digest config.Digest) ([]byte, bool) {
	return h.entry.config.Part(digest)
}

// Summaries implements peer.Handler.
func (h peerHandler) Summaries(exchange peer.SummaryExchange) peer.SummaryReply {
	return h.entry.handleSummaryExchange(exchange, time.Now())
}

// observeHeartbeat applies a heartbeat and pulls the configuration if the sender has a higher version.
func (e *Entry) observeHeartbeat(heartbeat membership.Heartbeat, now time.Time) {
	e.cluster.observeHeartbeat(heartbeat, now)
	e.registry.MergeNotices(heartbeat.Notices, now)
	e.registry.RecordPeerSuspects(heartbeat.Suspects, now)
	e.pullConfig(heartbeat.From.ID, heartbeat.From.ConfigVersion)
}

// pullConfig pulls the configuration from a peer in the background if the peer's version is higher.
func (e *Entry) pullConfig(peerID string, version policy.Version) {
	if current := e.config.Snapshot(); current != nil && current.Version >= version || version == 0 {
		return
	}
	e.runInBackground(func(ctx context.Context) {
		if err := e.config.PullFromPeer(ctx, peerID, version); err != nil {
			e.log.Warn().Str("peer", peerID).Uint64("version", uint64(version)).Err(err).Msg("config_pull_failed")
		}
	})
}
