package placement

import "time"

const (
	// driftWindow is the span over which the platform compares where the requests of a region run.
	driftWindow = 2 * time.Second
	// driftBuckets divide a window, so that it slides.
	driftBuckets = 10
	// maxDrift is the part of the requests by which the share of the own region may change from a window to the next. The
	// platform allows 0.15, over all hosts of a region.
	maxDrift = 0.1
	// driftLeast is the number of requests in a window below which shares say little.
	driftLeast = 30
)

// calmAfter is the time after a loss of servers or hosts for which work moves freely, since holding it where it was would make
// it late. The platform limits movement only while nothing but the traffic changes.
const calmAfter = 5 * time.Second

// bias says which regions come first.
type bias int

const (
	// stay prefers no region.
	stay bias = iota
	// home prefers this host's region, away the others.
	home
	away
)

// drift limits how fast the requests of this host move between its region and the others. It answers callers that move
// from one region to another, and loads that build up and fade, as at a start without warm objects.
type drift struct {
	buckets [2 * driftBuckets]map[string]int
	// newest is the number of the newest bucket since the zero time.
	newest int64
	// disturbed is the time of the latest loss of servers or hosts.
	disturbed time.Time
}

func (d *drift) advance(now time.Time) {
	bucket := now.UnixNano() / int64(driftWindow/driftBuckets)
	if bucket-d.newest >= int64(len(d.buckets)) {
		d.buckets = [2 * driftBuckets]map[string]int{}
		d.newest = bucket
	}
	for d.newest < bucket {
		d.newest++
		d.buckets[d.slot(d.newest)] = nil
	}
}

func (d *drift) slot(bucket int64) int { return int(bucket % int64(len(d.buckets))) }

// ran counts a request that runs in a region.
func (d *drift) ran(region string, now time.Time) {
	d.advance(now)
	slot := d.slot(d.newest)
	if d.buckets[slot] == nil {
		d.buckets[slot] = map[string]int{}
	}
	d.buckets[slot][region]++
}

// counts returns the requests of a region and all requests in a window that ended some buckets ago.
func (d *drift) counts(region string, ended int) (own, all int) {
	for i := range driftBuckets {
		for name, n := range d.buckets[d.slot(d.newest-int64(ended+i)+int64(2*len(d.buckets)))] {
			all += n
			if name == region {
				own += n
			}
		}
	}
	return own, all
}

// bias returns which regions the next request should prefer.
func (d *drift) bias(region string, now time.Time) bias {
	d.advance(now)
	if now.Sub(d.disturbed) < calmAfter {
		return stay
	}
	before, allBefore := d.counts(region, driftBuckets)
	current, all := d.counts(region, 0)
	if allBefore < driftLeast || all < driftLeast {
		return stay
	}
	switch moved := float64(current)/float64(all) - float64(before)/float64(allBefore); {
	case moved > maxDrift:
		return away
	case moved < -maxDrift:
		return home
	default:
		return stay
	}
}
