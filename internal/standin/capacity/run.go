package capacity

import (
	"context"
	"time"
)

// Report holds everything that was measured.
type Report struct {
	Started time.Time
	window  time.Duration
	// oneDomain grows the hosts of one failure domain, twoDomains those of two, and domains the failure domains of two hosts.
	oneDomain, twoDomains, domains []sample
	// servers grows the backend servers of one host, and blocks its blocks.
	servers, blocks []sample
	restart         restart
	loss            loss
	lookups         []lookups
	messages        []messageSize
	policies        []policyCost
	trackers        []serverCost
	calls           callBytes
}

// Points of the slopes.
var (
	hostPoints      = []int{4, 8, 16, largestDomain}
	twoDomainPoints = []int{4, 8, 16}
	domainPoints    = []int{2, 4, 8, 18}
	serverPoints    = []int{4, 16, 40}
	blockPoints     = []int{1_000, 10_000, 160_000}
	trackerPoints   = []int{10, 100, 1_000}
)

// lossDomains is the number of failure domains of the deployment that loses one.
const lossDomains = 8

// Run measures all slopes, one deployment at a time.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Started: time.Now(), window: o.Window}
	for _, step := range []func(context.Context, Options) error{
		r.runInProcess, r.runHosts, r.runTwoDomains, r.runDomains, r.runServers, r.runBlocks,
	} {
		if err := step(ctx, o); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// runInProcess measures what needs no other process.
func (r *Report) runInProcess(ctx context.Context, o Options) (err error) {
	for _, hosts := range []int{2, 4, 8, 16, largestDomain} {
		for _, services := range []int{1, 2, 8} {
			size, err := measureMessages(hosts, services)
			if err != nil {
				return err
			}
			r.messages = append(r.messages, size)
		}
	}
	for _, n := range trackerPoints {
		cost, err := measureServers(n)
		if err != nil {
			return err
		}
		r.trackers = append(r.trackers, cost)
	}
	for _, n := range blockPoints {
		o.Log("policy of the target size with %d blocks", n)
		cost, err := measurePolicy(ctx, n)
		if err != nil {
			return err
		}
		r.policies = append(r.policies, cost)
	}
	r.calls, err = measureCalls(ctx)
	return err
}

// run measures one deployment and, while it runs, whatever more is asked for.
func (o Options) run(ctx context.Context, s shape, more func(*deployment, sample) error) (sample, error) {
	o.Log("%d failure domains of %d entry hosts and %d backend servers, %d blocks", s.domains, s.hostsPerDomain, s.serversPerDomain, s.blocks)
	d, err := o.start(ctx, s)
	if err != nil {
		return sample{}, err
	}
	defer d.Stop()
	measured, err := o.measureRunning(ctx, d)
	if err != nil || more == nil {
		return measured, err
	}
	return measured, more(d, measured)
}

func (r *Report) runHosts(ctx context.Context, o Options) error {
	for _, n := range hostPoints {
		s, err := o.run(ctx, shape{regions: 1, domains: 1, hostsPerDomain: n, serversPerDomain: 2, services: 2}, func(d *deployment, idle sample) (err error) {
			if n == largestDomain {
				r.restart, err = d.measureRestart(ctx, idle)
			}
			return err
		})
		if err != nil {
			return err
		}
		r.oneDomain = append(r.oneDomain, s)
	}
	return nil
}

func (r *Report) runTwoDomains(ctx context.Context, o Options) error {
	for _, n := range twoDomainPoints {
		s, err := o.run(ctx, shape{regions: 1, domains: 2, hostsPerDomain: n, serversPerDomain: 2, services: 2}, nil)
		if err != nil {
			return err
		}
		r.twoDomains = append(r.twoDomains, s)
	}
	return nil
}

func (r *Report) runDomains(ctx context.Context, o Options) error {
	for _, n := range domainPoints {
		var spread []time.Duration
		s, err := o.run(ctx, shape{regions: min(n, 6), domains: n, hostsPerDomain: 2, serversPerDomain: 1, services: 1}, func(d *deployment, idle sample) (err error) {
			if spread, err = d.measureSpread(ctx); err == nil && n == lossDomains {
				r.loss, err = o.measureLoss(ctx, d, idle)
			}
			return err
		})
		if err != nil {
			return err
		}
		s.spread = spread
		r.domains = append(r.domains, s)
	}
	return nil
}

func (r *Report) runServers(ctx context.Context, o Options) error {
	for _, n := range serverPoints {
		s, err := o.run(ctx, shape{regions: 1, domains: 1, hostsPerDomain: 1, serversPerDomain: n, services: 2}, func(d *deployment, _ sample) error {
			return r.calls.measurePolls(d)
		})
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	return nil
}

func (r *Report) runBlocks(ctx context.Context, o Options) error {
	for _, n := range blockPoints {
		s, err := o.run(ctx, shape{regions: 1, domains: 1, hostsPerDomain: 1, serversPerDomain: 2, services: 2, sites: 49, blocks: n}, func(d *deployment, _ sample) error {
			cost, err := o.measureLookups(ctx, d)
			r.lookups = append(r.lookups, cost)
			return err
		})
		if err != nil {
			return err
		}
		r.blocks = append(r.blocks, s)
	}
	return nil
}
