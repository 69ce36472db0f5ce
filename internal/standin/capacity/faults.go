package capacity

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// restart is what the restart of one host costs the others of its failure domain.
type restart struct {
	hosts int
	// bytes is the traffic with all other hosts beyond that of the same time without a restart.
	bytes float64
	// ready is the time from the start of the process until it uses its slots.
	ready time.Duration
}

// measureRestart kills the last host of the deployment and starts it again.
func (d *deployment) measureRestart(ctx context.Context, idle sample) (restart, error) {
	last := hostID(d.shape.domains-1, d.shape.hostsPerDomain-1)
	before, err := d.read()
	if err != nil {
		return restart{}, err
	}
	d.Hosts[last].Kill()
	started := time.Now()
	if err := d.StartHost(last); err != nil {
		return restart{}, err
	}
	if err := d.WaitReady(ctx); err != nil {
		return restart{}, err
	}
	ready := time.Since(started)
	after, err := d.read()
	if err != nil {
		return restart{}, err
	}
	total, expected := 0.0, 0.0
	seconds := after.at.Sub(before.at).Seconds()
	for id := range d.Hosts {
		if id != last {
			total += useOf(id, before, after, seconds).bytes() * seconds
		}
	}
	for r, n := range d.shape.hostsByRole() {
		expected += idle.mean[r].bytes() * float64(n) * seconds
	}
	// The restarted host is not among the counted ones.
	expected -= idle.mean[member].bytes() * seconds
	return restart{hosts: d.shape.hostsPerDomain, bytes: total - expected, ready: ready}, nil
}

// hostsByRole counts the hosts of each role.
func (s shape) hostsByRole() [roleCount]int {
	n := s.hostsPerDomain
	return [roleCount]int{s.domains * min(n, 1), s.domains * min(max(n-1, 0), 1), s.domains * max(n-2, 0)}
}

// loss compares a deployment before and after one of its failure domains was lost.
type loss struct{ before, after sample }

// lossSettle covers the age at which summaries and host list evidence expire.
const lossSettle = 10 * time.Second

// measureLoss kills the last failure domain and measures the others again.
func (o Options) measureLoss(ctx context.Context, d *deployment, before sample) (loss, error) {
	lost := d.shape.domains - 1
	var killed []*fleet.Process
	for n := range d.shape.hostsPerDomain {
		killed = append(killed, d.Hosts[hostID(lost, n)])
	}
	for _, p := range killed {
		p.Kill()
	}
	if err := sleep(ctx, lossSettle); err != nil {
		return loss{}, err
	}
	d.shape.domains--
	defer func() { d.shape.domains++ }()
	after, err := o.measureRunning(ctx, d)
	return loss{before, after}, err
}
