package steering

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// fullThreshold is the free share of the interactive rank below which a failure domain counts as full.
	fullThreshold = 0.1
	// spareThreshold is the free share above which a failure domain takes the overflow of others. The gap to fullThreshold is
	// hysteresis, so that the callers that move do not immediately make the receiving failure domain full.
	spareThreshold = 0.25
	// overflowRisePerSecond and overflowFallPerSecond are the changes of the overflow share in a second. The effect of a change
	// is reported after the time to live of look-up responses and one summary, about 5 s, in which the share changes by 0.1.
	// With 0.05 per second, an overload of one failure domain by half made the receiving one full before the effect was
	// reported. Until the share has risen, spilling handles the overload.
	overflowRisePerSecond = 0.02
	overflowFallPerSecond = 0.02
	// maxOverflow keeps some callers in their failure domain, so that its reports show when it has free slots again.
	maxOverflow = 0.8
	// maxOverflowUpdateInterval bounds the elapsed time that one update accounts for, for example after a pause of the process.
	maxOverflowUpdateInterval = 2 * time.Second
)

// Overflow determines the share of the callers of a full failure domain that look-ups direct to the other failure domains of its
// region. The headroom reports that it uses lag, so the share changes slowly and in one direction at a time. It is not safe for
// concurrent use.
type Overflow struct {
	shares  map[domainService]float64
	updated time.Time
}

type domainService struct {
	domain, service string
}

// load is the smoothed headroom of one failure domain for one service.
type load struct {
	usable int
	free   float64
}

// NewOverflow returns an Overflow that keeps all callers in their failure domains.
func NewOverflow() *Overflow {
	return &Overflow{shares: map[domainService]float64{}}
}

// Update adjusts the shares to the headroom of this host and of the hosts that are known to the planner.
func (o *Overflow) Update(p *Planner, own OwnLoad, now time.Time) {
	seconds := min(now.Sub(o.updated), maxOverflowUpdateInterval).Seconds()
	first := o.updated.IsZero()
	o.updated = now
	if first || seconds <= 0 {
		return
	}
	loads := p.domainLoads(own)
	for i := range p.snapshot.Document.Services {
		service := p.snapshot.Document.Services[i].Name
		for _, d := range p.snapshot.Document.FailureDomains {
			o.updateShare(domainService{d.Name, service}, d.Region, loads, p.snapshot, seconds)
		}
	}
}

// Share returns the share (0 to 1) of the callers of a failure domain that look-ups direct to other failure domains of its region.
func (o *Overflow) Share(failureDomain, service string) float64 {
	return o.shares[domainService{failureDomain, service}]
}

func (o *Overflow) updateShare(key domainService, region string, loads map[domainService]load, snapshot *policy.Snapshot, seconds float64) {
	share := o.shares[key]
	if loads[key].full() && neighbourHasSpareCapacity(key, region, loads, snapshot) {
		share = min(share+overflowRisePerSecond*seconds, maxOverflow)
	} else if !loads[key].full() {
		share = max(share-overflowFallPerSecond*seconds, 0)
	}
	if share == 0 {
		delete(o.shares, key)
		return
	}
	o.shares[key] = share
}

func neighbourHasSpareCapacity(key domainService, region string, loads map[domainService]load, snapshot *policy.Snapshot) bool {
	for _, d := range snapshot.Document.FailureDomains {
		if d.Region == region && d.Name != key.domain && loads[domainService{d.Name, key.service}].hasSpare() {
			return true
		}
	}
	return false
}

func (l load) full() bool { return l.usable > 0 && l.free < fullThreshold*float64(l.usable) }

func (l load) hasSpare() bool { return l.usable > 0 && l.free > spareThreshold*float64(l.usable) }

// OwnLoad is the headroom of this host. The planner keeps only the headroom of the other hosts.
type OwnLoad struct {
	FailureDomain string
	Usable        map[string]int
	Free          map[string][rank.Count]float64
}

// domainLoads sums the headroom of interactive work over the hosts of each failure domain.
func (p *Planner) domainLoads(own OwnLoad) map[domainService]load {
	loads := map[domainService]load{}
	add := func(domain, service string, usable int, free float64) {
		key := domainService{domain, service}
		l := loads[key]
		loads[key] = load{l.usable + usable, l.free + free}
	}
	for service, free := range own.Free {
		add(own.FailureDomain, service, own.Usable[service], free[rank.Interactive])
	}
	for _, h := range p.hosts {
		for service, free := range h.free {
			add(h.domain, service, h.usable[service], free[rank.Interactive])
		}
	}
	return loads
}
