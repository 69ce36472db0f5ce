package placement

import "time"

const (
	// shareWindow is the window over which the platform compares in which regions the requests of a region's callers run.
	shareWindow = 2 * time.Second
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 10
	// maxShareChange is the largest allowed change of the own region's share of the requests from one window to the next. The
	// platform allows 0.15 over all hosts of a region.
	maxShareChange = 0.1
	// minWindowRequests is the number of requests in a window below which shares are not significant.
	minWindowRequests = 30
)

// unlimitedAfterLoss is the time after a loss of servers or hosts for which requests move between regions without a limit, since
// the limit would make them late. The platform limits movement only while nothing but the traffic changes.
const unlimitedAfterLoss = 5 * time.Second

// regionBias states which regions are preferred.
type regionBias int

const (
	// noBias prefers no region.
	noBias regionBias = iota
	// preferOwnRegion prefers this host's region, preferOtherRegions the others.
	preferOwnRegion
	preferOtherRegions
)

// regionShareLimiter limits how fast the requests of this host move between its region and the others. Requests move when callers
// move from one region to another, and when load rises and falls, such as at a start without warm objects.
type regionShareLimiter struct {
	buckets [2 * windowBuckets]map[string]int
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
	// lastLoss is the time of the latest loss of servers or hosts, including ejections of servers.
	lastLoss time.Time
}

func (d *regionShareLimiter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(shareWindow/windowBuckets)
	if bucket-d.newest >= int64(len(d.buckets)) {
		d.buckets = [2 * windowBuckets]map[string]int{}
		d.newest = bucket
	}
	for d.newest < bucket {
		d.newest++
		d.buckets[d.index(d.newest)] = nil
	}
}

func (d *regionShareLimiter) index(bucket int64) int { return int(bucket % int64(len(d.buckets))) }

// record counts a request that runs in a region.
func (d *regionShareLimiter) record(region string, now time.Time) {
	d.advance(now)
	index := d.index(d.newest)
	if d.buckets[index] == nil {
		d.buckets[index] = map[string]int{}
	}
	d.buckets[index][region]++
}

// counts returns the requests of a region and of all regions in the window that ended bucketsAgo buckets before the newest one.
func (d *regionShareLimiter) counts(region string, bucketsAgo int) (own, all int) {
	for i := range windowBuckets {
		for name, n := range d.buckets[d.index(d.newest-int64(bucketsAgo+i)+int64(2*len(d.buckets)))] {
			all += n
			if name == region {
				own += n
			}
		}
	}
	return own, all
}

// bias returns the regions that the next request prefers.
func (d *regionShareLimiter) bias(region string, now time.Time) regionBias {
	d.advance(now)
	if now.Sub(d.lastLoss) < unlimitedAfterLoss {
		return noBias
	}
	before, allBefore := d.counts(region, windowBuckets)
	current, all := d.counts(region, 0)
	if allBefore < minWindowRequests || all < minWindowRequests {
		return noBias
	}
	switch moved := float64(current)/float64(all) - float64(before)/float64(allBefore); {
	case moved > maxShareChange:
		return preferOtherRegions
	case moved < -maxShareChange:
		return preferOwnRegion
	default:
		return noBias
	}
}
