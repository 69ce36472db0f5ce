package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
	"github.com/foxtailtack/foxtailtack/internal/standin/platform"
)

// role tells the hosts of a failure domain apart by their messages.
type role int

const (
	// firstDelegate is the host with the lowest id, from which the members get the summaries.
	firstDelegate role = iota
	secondDelegate
	member
	roleCount
)

func (r role) String() string { return [...]string{"first delegate", "second delegate", "member"}[r] }

// use is what one entry host process used.
type use struct {
	// processor is in percent of a core, resident in bytes, sent and received in bytes a second.
	processor, resident, sent, received float64
}

// bytes is the traffic in both directions.
func (u use) bytes() float64 { return u.sent + u.received }

// sample is one measurement of a deployment.
type sample struct {
	shape shape
	// mean and highest are taken over the hosts of each role; a role without a host has zero values.
	mean, highest [roleCount]use
	// storeCalls is the number of calls of the platform a second, and watching the number of watches that wait.
	storeCalls float64
	watching   int
	spread     []time.Duration
}

// reading is the state of the counters at one time.
type reading struct {
	at       time.Time
	cpu      map[string]time.Duration
	resident map[string]int64
	health   map[string]fleet.Health
	stats    platform.Stats
}

func (d *deployment) read() (reading, error) {
	r := reading{at: time.Now(), cpu: map[string]time.Duration{}, resident: map[string]int64{}, health: map[string]fleet.Health{}}
	var err error
	for id, p := range d.Hosts {
		if !p.Running() {
			continue
		}
		if r.health[id], err = d.Health(id); err != nil {
			return r, err
		}
		if r.cpu[id], r.resident[id], err = p.Usage(); err != nil {
			return r, err
		}
	}
	r.stats, err = d.PlatformStats()
	return r, err
}

// measureRunning measures an idle deployment over the window.
func (o Options) measureRunning(ctx context.Context, d *deployment) (sample, error) {
	before, err := d.read()
	if err != nil {
		return sample{}, err
	}
	if err := sleep(ctx, o.Window); err != nil {
		return sample{}, err
	}
	after, err := d.read()
	if err != nil {
		return sample{}, err
	}
	return d.sample(before, after), nil
}

func (d *deployment) sample(before, after reading) sample {
	s := sample{shape: d.shape, watching: d.shape.domains * min(2, d.shape.hostsPerDomain)}
	seconds := after.at.Sub(before.at).Seconds()
	s.storeCalls = float64(after.stats.Calls-before.stats.Calls) / seconds
	var count [roleCount]float64
	for domain := range d.shape.domains {
		for n := range d.shape.hostsPerDomain {
			r := role(min(n, int(member)))
			u := useOf(hostID(domain, n), before, after, seconds)
			s.mean[r] = add(s.mean[r], u)
			s.highest[r] = highest(s.highest[r], u)
			count[r]++
		}
	}
	for r, n := range count {
		if n > 0 {
			s.mean[r] = use{s.mean[r].processor / n, s.mean[r].resident / n, s.mean[r].sent / n, s.mean[r].received / n}
		}
	}
	return s
}

func useOf(id string, before, after reading, seconds float64) use {
	return use{
		processor: 100 * (after.cpu[id] - before.cpu[id]).Seconds() / seconds,
		resident:  float64(after.resident[id]),
		sent:      float64(after.health[id].Sent()-before.health[id].Sent()) / seconds,
		received:  float64(after.health[id].Received()-before.health[id].Received()) / seconds,
	}
}

func add(a, b use) use {
	return use{a.processor + b.processor, a.resident + b.resident, a.sent + b.sent, a.received + b.received}
}

func highest(a, b use) use {
	return use{max(a.processor, b.processor), max(a.resident, b.resident), max(a.sent, b.sent), max(a.received, b.received)}
}

// changes is the number of policy changes whose spread is measured.
const changes = 7

// measureSpread measures the time from the acceptance of a change until it is in force on every host.
func (d *deployment) measureSpread(ctx context.Context) ([]time.Duration, error) {
	var times []time.Duration
	for range changes {
		d.document.Services[0].HedgeAfterMs++
		accepted, err := d.apply(ctx, "measure the spread")
		if err != nil {
			return nil, err
		}
		start := time.Now()
		if err := d.WaitVersion(ctx, accepted.Version); err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
		// Long enough for the summaries and heartbeats of this version to pass.
		if err := sleep(ctx, time.Second); err != nil {
			return nil, err
		}
	}
	slices.Sort(times)
	return times, nil
}
