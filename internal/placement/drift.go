package placement

import "time"

const (
	// driftWindow is the span over which the platform compares where the requests of a region run.
	driftWindow = 2 * time.Second
	// driftBuckets divide a window, so that it slides.
	driftBuckets = 10
	// maxDrift is the part of the requests by which the share of the own region may grow from a window to the next. The platform
	// allows 0.15, over all hosts of a region.
	maxDrift = 0.1
	// driftLeast is the number of requests in a window below which shares say little.
	driftLeast = 30
)

// drift limits how fast the requests of this host come back to their region. It answers loads that build up in one region and
// fade again, as at a start without warm objects: work that has left a region would come back all at once. Work that leaves is
// not held, since it would be late.
type drift struct {
	buckets [2 * driftBuckets]map[string]int
	// newest is the number of the newest bucket since the zero time.
	newest int64
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

// allows reports whether one more request may run in a region.
func (d *drift) allows(region string, now time.Time) bool {
	d.advance(now)
	before, allBefore := d.counts(region, driftBuckets)
	current, all := d.counts(region, 0)
	if allBefore < driftLeast || all < driftLeast {
		return true
	}
	return float64(current+1)/float64(all+1) <= float64(before)/float64(allBefore)+maxDrift
}
