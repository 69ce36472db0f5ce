package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/slots"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

// Intervals of the periodic tasks.
const (
	// tickInterval is well below the pause limit, so that a busy CPU is not mistaken for a pause.
	tickInterval = 50 * time.Millisecond
	// refreshInterval is the time between two polls of the number of usable slots and of liveness.
	refreshInterval = 200 * time.Millisecond
	// joinInterval is the time between two rounds of join requests.
	joinInterval = 100 * time.Millisecond
	// hostListInterval is the time between two fetches of the platform's host list by a host that needs it.
	hostListInterval = 2 * time.Second
	// delegateCheckInterval is the time between two checks of whether this host has to follow the store.
	delegateCheckInterval = 500 * time.Millisecond
	// bootstrapInterval is the time between two requests for a configuration to bootstrap peers.
	bootstrapInterval = time.Second
)

// startLoops starts the periodic tasks and the loops that follow the store and poll the health of backend servers.
func (e *Entry) startLoops() {
	e.runEvery(tickInterval, e.tick)
	e.runEvery(refreshInterval, e.refresh)
	e.runEvery(joinInterval, e.sendJoinRequests)
	e.runEvery(membership.HeartbeatInterval, e.sendHeartbeats)
	e.runEvery(membership.SummaryInterval, e.sendSummaries)
	e.runEvery(hostListInterval, e.fetchHostList)
	e.runEvery(bootstrapInterval, e.bootstrap)
	e.runEvery(metricsInterval, e.updateMetrics)
	e.runInBackground(func(ctx context.Context) { guard.Loop(ctx, e.log, "configuration", e.followStore) })
	e.runInBackground(func(ctx context.Context) { guard.Loop(ctx, e.log, "health polls", e.poller.Run) })
}

// runEvery runs a step at each interval with a jitter of 10 %, so that hosts that started together do not stay synchronized.
func (e *Entry) runEvery(interval time.Duration, step func(context.Context)) {
	e.runInBackground(func(ctx context.Context) {
		for ctx.Err() == nil {
			guard.Run(ctx, e.log, "timer", step)
			wait.For(ctx, interval+rand.N(interval/5)-interval/10)
		}
	})
}

// tick detects pauses of the process. After a pause the process has lost its slots and grants and joins again.
func (e *Entry) tick(context.Context) {
	now := time.Now()
	if e.cluster.tick(now, e.slotOptions.Load().PauseLimit) {
		e.router.dropGrants(now)
		e.capacity.refresh()
		e.log.Warn().Uint64("incarnation", uint64(e.cluster.identity().Incarnation)).Msg("paused_too_long")
	}
}

// refresh applies changes that result from the passage of time only: slots gained or lost, backend servers ejected or
// restored, hosts that have become unresponsive.
func (e *Entry) refresh(ctx context.Context) {
	e.capacity.refresh()
	snapshot := e.config.Snapshot()
	if snapshot != nil && e.cluster.updateSelf(snapshot.Version, e.capacity.headroom(), time.Now()) {
		// Publishes the changed state, for example that this host has joined, without waiting for the next interval.
		e.sendHeartbeats(ctx)
		e.sendSummaries(ctx)
	}
	e.refreshView(time.Now())
	if snapshot != nil {
		e.grants.configure(snapshot, snapshot.Region(e.settings.FailureDomain))
	}
}

// sendJoinRequests asks peers to stop using the slots of this host. It does so until this host is ready.
func (e *Entry) sendJoinRequests(ctx context.Context) {
	targets, request := e.cluster.joinTargets(time.Now())
	for _, target := range targets {
		e.runInBackground(func(context.Context) {
			reply, err := e.peers.Join(ctx, target, request)
			if err != nil {
				e.log.Debug().Str("peer", target).Err(err).Msg("join_failed")
				return
			}
			e.cluster.joinAcknowledged(target, reply, time.Now())
		})
	}
}

// joinTargets returns the peers to send a join request to, and the request.
func (c *cluster) joinTargets(now time.Time) ([]string, slots.JoinRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.JoinTargets(now), slots.JoinRequest{From: c.self, Incarnation: c.incarnation}
}

func (c *cluster) joinAcknowledged(peer string, reply slots.JoinReply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.HandleJoinReply(peer, reply, now)
}

func (e *Entry) sendHeartbeats(ctx context.Context) {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return
	}
	heartbeat, targets := e.cluster.heartbeat(snapshot.Version, e.capacity.headroom(), time.Now())
	heartbeat.Notices = e.registry.Notices()
	heartbeat.Suspects = e.registry.Suspects()
	for _, target := range targets {
		e.runInBackground(func(context.Context) {
			reply, err := e.peers.Heartbeat(ctx, target, heartbeat)
			if err != nil {
				e.log.Debug().Str("peer", target).Err(err).Msg("heartbeat_failed")
				return
			}
			e.observeHeartbeat(reply, time.Now())
		})
	}
}

// fetchHostList fetches the platform's host list while this host needs it.
func (e *Entry) fetchHostList(ctx context.Context) {
	snapshot := e.config.Snapshot()
	if snapshot == nil || !e.cluster.needsHostList(time.Now(), snapshot.HostsIn(e.settings.FailureDomain)) {
		return
	}
	list, err := e.hostList.Fetch(ctx)
	if err != nil {
		e.log.Debug().Err(err).Msg("host_list_failed")
		return
	}
	now := time.Now()
	e.cluster.observeHostList(list, now)
	e.registry.RecordHostList(list, now)
}

// followStore watches the store while this host is a delegate or has no configuration.
func (e *Entry) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if e.shouldFollowStore() {
			e.followStoreWhileNeeded(ctx)
		}
		wait.For(ctx, delegateCheckInterval)
	}
}

func (e *Entry) shouldFollowStore() bool {
	return e.config.Snapshot() == nil || e.cluster.isDelegate(time.Now())
}

// followStoreWhileNeeded follows the store until this host is no delegate and has a configuration.
func (e *Entry) followStoreWhileNeeded(ctx context.Context) {
	followContext, stop := context.WithCancel(ctx)
	defer stop()
	e.runInBackground(func(context.Context) { e.config.FollowStore(followContext) })
	for ctx.Err() == nil && e.shouldFollowStore() {
		wait.For(ctx, delegateCheckInterval)
	}
}

// bootstrap requests a configuration from the bootstrap peers of the settings while this host has none, so that it can start
// during a store outage.
func (e *Entry) bootstrap(ctx context.Context) {
	if e.config.Snapshot() != nil {
		return
	}
	for _, address := range e.settings.Bootstrap {
		if err := e.config.PullFromPeer(ctx, address.String(), 1); err == nil {
			return
		}
	}
}
