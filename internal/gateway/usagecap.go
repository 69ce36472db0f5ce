package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/relay"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/usagecap"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// usageTick is the time between two checks for due reports. It is well below the shortest interval between reports.
	usageTick = 20 * time.Millisecond
	// usageGaugeInterval is the time between two updates of the gauges, and maxUsageGauges the number of customers that have gauges.
	usageGaugeInterval = 5 * time.Second
	maxUsageGauges     = 200
	// usagePath is the path of the customers' usage on the administration address.
	usagePath = "/usage-caps"
)

// usageCaps applies the usage caps of customers. While no customer has a cap, it runs nothing and sends nothing.
type usageCaps struct {
	self        string
	incarnation catalog.Incarnation
	startedAt   time.Time
	metrics     tally.Scope
	log         zerolog.Logger
	client      *relay.UsageClient
	// view returns the view with the addresses of other hosts.
	view func() *catalog.View
	// wake has a value after the first cap was configured.
	wake chan struct{}

	mu      sync.Mutex
	limiter *usagecap.Limiter
	// configured is true once a configuration was applied.
	configured bool
	// reached is true while the latest report to an allocator was answered, by the allocator.
	reached map[string]bool
}

func newUsageCaps(self *catalog.Host, view func() *catalog.View, client *relay.UsageClient, metrics tally.Scope, log zerolog.Logger) *usageCaps {
	return &usageCaps{
		self: self.ID, incarnation: self.Incarnation, startedAt: time.Now(), metrics: metrics, log: log, client: client, view: view, wake: make(chan struct{}, 1),
		limiter: usagecap.New(self.ID, self.FailureDomain, int64(self.Incarnation)), reached: map[string]bool{},
	}
}

// configure applies a new view.
func (u *usageCaps) configure(view *catalog.View, now time.Time) {
	if view.Configuration == nil {
		return
	}
	caps := map[string]usagecap.Cap{}
	for name, c := range view.Configuration.Customers {
		if c.RatePerSecond > 0 {
			caps[name] = usagecap.Cap{RatePerSecond: c.RatePerSecond, Burst: c.Burst}
		}
	}
	domains := make(map[string]string, len(view.Hosts))
	for id, h := range view.Hosts {
		domains[id] = h.FailureDomain
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.Configure(caps, domains, now)
	if own := view.Hosts[u.self]; !u.configured && own != nil && own.Incarnation < u.incarnation {
		u.limiter.Rejoin(u.startedAt, now)
	}
	u.configured = true
	if u.limiter.Enabled() {
		select {
		case u.wake <- struct{}{}:
		default:
		}
	}
}

// confirm records the time up to which the store has confirmed the view.
func (u *usageCaps) confirm(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.Confirm(at)
}

// paused is called after a pause of the process.
func (u *usageCaps) paused(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.Pause(now)
}

// run exchanges reports with other hosts until ctx is done.
func (u *usageCaps) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		}
		gaugesAt := time.Now()
		for ctx.Err() == nil && u.sendReports(ctx) {
			if now := time.Now(); now.Sub(gaugesAt) >= usageGaugeInterval {
				gaugesAt = now
				u.updateGauges(now)
			}
			wait.For(ctx, usageTick)
		}
	}
}

// sendReports sends the reports that are due. It reports whether a customer has a cap.
func (u *usageCaps) sendReports(ctx context.Context) bool {
	u.mu.Lock()
	now := time.Now()
	due, enabled := u.limiter.Reports(now), u.limiter.Enabled()
	changes := u.limiter.Changes()
	u.mu.Unlock()
	for _, c := range changes {
		u.log.Info().Str("customer", c.Customer).Float64("from_per_s", c.From).Float64("to_per_s", c.To).Float64("cap_per_s", c.Cap).
			Str("allocator", c.Allocator).Msg("usage_share_changed")
	}
	for _, o := range due {
		go guard.Run(ctx, u.log, "usage report", func(ctx context.Context) { u.send(ctx, &o) })
	}
	return enabled
}

// send sends one report and passes the result to the limiter, also if the call panics.
func (u *usageCaps) send(ctx context.Context, o *usagecap.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, usagecap.CallTimeout)
	defer cancel()
	var reply *usagecap.Reply
	err := Error.New("the call failed unexpectedly")
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if err == nil {
			err = u.limiter.Delivered(o, reply, time.Now())
		} else {
			u.limiter.Failed(o, time.Now())
		}
		u.noteReached(o.To.Host, err)
	}()
	if o.To.Host == u.self {
		var own usagecap.Reply
		own, err = u.AcceptUsage(&o.Report)
		reply = &own
		return
	}
	host := u.view().Hosts[o.To.Host]
	if host == nil {
		err = Error.New("the host is not listed")
		return
	}
	reply, err = u.client.Report(ctx, host.PeerAddress, &o.Report)
}

// noteReached logs the loss and the return of an allocator. The caller holds the lock.
func (u *usageCaps) noteReached(host string, err error) {
	reached, known := u.reached[host]
	switch {
	case err != nil && (reached || !known):
		u.metrics.Counter("usage_allocators_lost").Inc(1)
		u.log.Warn().Str("host", host).Err(err).Msg("usage_allocator_lost")
	case err == nil && known && !reached:
		u.log.Info().Str("host", host).Msg("usage_allocator_reached")
	}
	u.reached[host] = err == nil
}

// AcceptUsage implements relay.UsageReceiver.
func (u *usageCaps) AcceptUsage(report *usagecap.Report) (usagecap.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limiter.Accept(report, time.Now())
}

// admit decides about a request of a customer with a cap.
func (u *usageCaps) admit(customer string, rank int, now time.Time) usagecap.Decision {
	u.mu.Lock()
	d := u.limiter.Admit(customer, rank, now)
	u.mu.Unlock()
	if d.Reason != "" {
		u.metrics.Tagged(map[string]string{"reason": d.Reason, "admitted": strconv.FormatBool(d.Admitted)}).Counter("usage_decisions").Inc(1)
	}
	return d
}

// putBack returns the token of a request that has not run.
func (u *usageCaps) putBack(customer string, now time.Time) {
	u.metrics.Counter("usage_tokens_returned").Inc(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.Return(customer, now)
}

// usage returns the state of the customers that had traffic on this host.
func (u *usageCaps) usage(now time.Time) []usagecap.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limiter.Usage(now)
}

func (u *usageCaps) updateGauges(now time.Time) {
	list := u.usage(now)
	for _, c := range list[:min(len(list), maxUsageGauges)] {
		scope := u.metrics.Tagged(map[string]string{"customer": c.Customer})
		scope.Gauge("usage_cap_per_s").Update(c.CapPerSecond)
		scope.Gauge("usage_share_per_s").Update(c.SharePerSecond)
		scope.Gauge("usage_demand_per_s").Update(c.DemandPerSecond)
	}
}

// Usage returns usage, cap and share on this host of the customers that had traffic here, sorted by name.
func (g *Gateway) Usage() []usagecap.Usage { return g.usage.usage(time.Now()) }

// serveUsage handles an operator's query for the usage on this host.
func (g *Gateway) serveUsage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(struct {
		Customers []usagecap.Usage `json:"customers"`
	}{g.Usage()}); err != nil {
		g.log.Info().Err(err).Msg("usage_not_delivered")
	}
}

// admitCustomer applies the usage cap of the request's customer. A retry by this host does not call it again.
func (req *request) admitCustomer() *result.Failure {
	if req.customer == nil || req.customer.RatePerSecond <= 0 {
		return nil
	}
	req.usage = req.g.usage.admit(req.customer.Name, req.rank(), time.Now())
	if req.usage.Admitted {
		// The cap in force on the limiter is the one of its latest view, which may have none for the customer.
		req.holdsToken = req.usage.Cap > 0
		return nil
	}
	return result.Fail(result.UsageCapExceeded, "customer %q uses more than its cap of %g requests per second: %s", req.customer.Name, req.usage.Cap, req.usage.Reason).
		After(req.usage.RetryAfter)
}

// returnToken gives the token of a request back whose failure states that it has not run.
func (req *request) returnToken(failure *result.Failure) {
	if req.holdsToken && failure.Code.NotRun() {
		req.holdsToken = false
		req.g.usage.putBack(req.customer.Name, time.Now())
	}
}

// logUsage adds the inputs of the decision about the usage cap to the log line of a request.
func (req *request) logUsage(event *zerolog.Event) {
	if req.usage.Reason != "" {
		event.Str("usage_reason", req.usage.Reason).Float64("usage_share_per_s", req.usage.Share).Float64("usage_cap_per_s", req.usage.Cap)
	}
}
