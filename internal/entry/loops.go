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

// Periods of the loops.
const (
	// tickInterval is well below the pause limit, so that a busy processor does not look like a pause.
	tickInterval = 50 * time.Millisecond
	// refreshInterval is the time between two looks at the number of usable slots and at liveness.
	refreshInterval = 200 * time.Millisecond
	// joinInterval is the time between two rounds of join requests.
	joinInterval = 100 * time.Millisecond
	// hostListInterval is the time between two fetches of the platform's list by a host that needs it.
	hostListInterval = 2 * time.Second
	// roleInterval is the time between two looks at whether this host follows the store.
	roleInterval = 500 * time.Millisecond
	// bootstrapInterval is the time between two questions for a configuration to bootstrap peers.
	bootstrapInterval = time.Second
)

// startLoops starts everything that runs on a timer.
func (e *Entry) startLoops() {
	e.every(tickInterval, e.tick)
	e.every(refreshInterval, e.refresh)
	e.every(joinInterval, e.join)
	e.every(membership.HeartbeatInterval, e.sendHeartbeats)
	e.every(membership.SummaryInterval, e.sendSummaries)
	e.every(hostListInterval, e.fetchHostList)
	e.every(bootstrapInterval, e.bootstrap)
	e.every(metricsInterval, e.updateMetrics)
	e.background(func(ctx context.Context) { guard.Loop(ctx, e.log, "configuration", e.followStore) })
	e.background(func(ctx context.Context) { guard.Loop(ctx, e.log, "health polls", e.poller.Run) })
}

// every runs a step at each interval with jitter of a tenth, so that hosts which started together drift apart.
func (e *Entry) every(interval time.Duration, step func(context.Context)) {
	e.background(func(ctx context.Context) {
		for ctx.Err() == nil {
			guard.Run(ctx, e.log, "timer", step)
			wait.For(ctx, interval+rand.N(interval/5)-interval/10)
		}
	})
}

// tick notices pauses of the process. After one it has lost its slots and grants and joins again.
func (e *Entry) tick(context.Context) {
	now := time.Now()
	if e.cluster.tick(now, e.options.Load().PauseLimit) {
		e.router.drop(now)
		e.capacity.refresh()
		e.log.Warn().Uint64("incarnation", uint64(e.cluster.identity().Incarnation)).Msg("paused_too_long")
	}
}

// refresh follows changes that time alone brings: slots gained or lost, backend servers ejected or back, hosts not heard.
func (e *Entry) refresh(ctx context.Context) {
	e.capacity.refresh()
	snapshot := e.config.Snapshot()
	if snapshot != nil && e.cluster.updateSelf(snapshot.Version, e.capacity.headroom(), time.Now()) {
		// Others learn of a host that has joined without waiting for the next interval.
		e.sendHeartbeats(ctx)
		e.sendSummaries(ctx)
	}
	e.refreshView(time.Now())
	if snapshot != nil {
		e.grants.configure(snapshot, snapshot.Region(e.settings.FailureDomain))
	}
}

// join asks peers to leave the slots of this host alone, until it is ready.
func (e *Entry) join(ctx context.Context) {
	targets, request := e.cluster.joinTargets(time.Now())
	for _, target := range targets {
		e.background(func(context.Context) {
			reply, err := e.peers.Join(ctx, target, request)
			if err != nil {
				e.log.Debug().Str("peer", target).Err(err).Msg("join_failed")
				return
			}
			e.cluster.joinAcknowledged(target, reply, time.Now())
		})
	}
}

// joinTargets returns the peers to ask, and the request.
func (c *cluster) joinTargets(now time.Time) ([]string, slots.JoinRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.JoinTargets(now), slots.JoinRequest{From: c.self, Incarnation: c.incarnation}
}

func (c *cluster) joinAcknowledged(peer string, reply slots.JoinReply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.JoinAcknowledged(peer, reply, now)
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
		e.background(func(context.Context) {
			reply, err := e.peers.Heartbeat(ctx, target, heartbeat)
			if err != nil {
				e.log.Debug().Str("peer", target).Err(err).Msg("heartbeat_failed")
				return
			}
			e.observe(reply, time.Now())
		})
	}
}

// fetchHostList reads the platform's list while it could confirm something.
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
	e.cluster.observeList(list, now)
	e.registry.RecordHostList(list, now)
}

// followStore watches the store while this host is a delegate or has no configuration.
func (e *Entry) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if e.followsStore() {
			e.followWhileWanted(ctx)
		}
		wait.For(ctx, roleInterval)
	}
}

func (e *Entry) followsStore() bool {
	return e.config.Snapshot() == nil || e.cluster.isDelegate(time.Now())
}

// followWhileWanted follows the store until this host need not do so any more.
func (e *Entry) followWhileWanted(ctx context.Context) {
	follow, stop := context.WithCancel(ctx)
	defer stop()
	e.background(func(context.Context) { e.config.FollowStore(follow) })
	for ctx.Err() == nil && e.followsStore() {
		wait.For(ctx, roleInterval)
	}
}

// bootstrap asks the peers of the settings for a configuration while this host has none, for a start during a store outage.
func (e *Entry) bootstrap(ctx context.Context) {
	if e.config.Snapshot() != nil {
		return
	}
	for _, address := range e.settings.Bootstrap {
		if err := e.config.LearnFromPeer(ctx, address.String(), 1); err == nil {
			return
		}
	}
}
