package lookup

import (
	"math"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// overflowWeightScale increases the resolution of weights, so that a small overflow share of a host with a single slot does
// not round to 0.
const overflowWeightScale = 10

// applyOverflow moves the overflow share of the nearest site's weight to the selected hosts in the region's other failure
// domains, in proportion to their slotWeight. Overflow stays in the region, because work may go to another region only with
// a grant.
func (b *builder) applyOverflow(nearest, others []candidate) {
	nearestHost := nearest[0].host
	share := min(max(b.overflowShare(nearestHost.FailureDomain), 0), 1)
	fallbackWeight := 0
	for _, c := range others {
		if b.acceptsOverflow(nearestHost, c) {
			fallbackWeight += c.slotWeight
		}
	}
	if share == 0 || fallbackWeight == 0 {
		return
	}
	totalWeight := 0
	for i := range nearest {
		totalWeight += nearest[i].weight
		nearest[i].weight = scaleWeight(nearest[i].weight, 1-share)
	}
	for i := range others {
		if b.acceptsOverflow(nearestHost, others[i]) {
			others[i].weight = scaleWeight(totalWeight, share*float64(others[i].slotWeight)/float64(fallbackWeight))
		}
	}
}

func (b *builder) acceptsOverflow(nearestHost *policy.Host, c candidate) bool {
	region := b.table.snapshot.Region
	return c.host.FailureDomain != nearestHost.FailureDomain && region(c.host.FailureDomain) == region(nearestHost.FailureDomain)
}

func scaleWeight(weight int, share float64) int {
	return int(math.Round(float64(weight) * share * overflowWeightScale))
}
