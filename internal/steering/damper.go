package steering

import (
	"math"
	"time"
)

const (
	// maxWeightChangePerSecond is the share of the total weight by which one host's weight may change in a second. Callers
	// cache look-up responses for 2 s, so load reports lag by several seconds, and faster changes overshoot.
	maxWeightChangePerSecond = 0.05
	// startThreshold and stopThreshold are relative deviations from the target weights. The weights start to change when one
	// deviates by more than startThreshold, and stop when all are within stopThreshold. This hysteresis keeps them from
	// following every small change of load.
	startThreshold = 0.1
	stopThreshold  = 0.02
	// minFreeShare is the smallest share of a host's slots that counts as free for its weight, whatever its load. With
	// weight 0, a host would get no callers, then report no load, and then get too many callers.
	minFreeShare = 0.25
)

// HostLoad is the load of one host, from which its look-up weight is derived.
type HostLoad struct {
	Host string
	// Usable is the number of slots of the service that the host may use.
	Usable int
	// Free is the smoothed headroom of the service's least urgent rank.
	Free float64
}

// Damper limits how fast the look-up weights of one service change. It is not safe for concurrent use.
type Damper struct {
	weights map[string]float64
	updated time.Time
	moving  bool
}

// NewDamper returns a Damper without weights. The first call of Update sets the weights to the targets without a limit.
func NewDamper() *Damper {
	return &Damper{weights: make(map[string]float64)}
}

// Update moves the weights towards the targets that follow from the load of the hosts, and returns them. They sum to 1. The map
// is valid until the next call. A host that is missing or has no usable slot is removed immediately, because callers must not be
// sent to it.
func (d *Damper) Update(loads []HostLoad, now time.Time) map[string]float64 {
	targets := targetWeights(loads)
	for host := range d.weights {
		if _, listed := targets[host]; !listed {
			delete(d.weights, host)
		}
	}
	if len(d.weights) == 0 {
		d.weights, d.updated = targets, now
		return d.weights
	}
	normalize(d.weights)
	d.updateMoving(targets)
	if d.moving {
		d.stepTowards(targets, maxWeightChangePerSecond*max(0, now.Sub(d.updated).Seconds()))
	}
	d.updated = now
	return d.weights
}

// updateMoving determines whether the weights move towards their targets.
func (d *Damper) updateMoving(targets map[string]float64) {
	threshold := startThreshold
	if d.moving {
		threshold = stopThreshold
	}
	d.moving = false
	for host, target := range targets {
		if math.Abs(target-d.weights[host]) > threshold*target {
			d.moving = true
		}
	}
}

// stepTowards moves every weight towards its target by the same share of the gap, so that the weights still sum to 1 and none
// changes by more than maxChange.
func (d *Damper) stepTowards(targets map[string]float64, maxChange float64) {
	largest := 0.0
	for host, target := range targets {
		largest = max(largest, math.Abs(target-d.weights[host]))
	}
	if largest == 0 {
		return
	}
	gapShare := min(1, maxChange/largest)
	for host, target := range targets {
		d.weights[host] += gapShare * (target - d.weights[host])
	}
}

// targetWeights returns the weights that follow from usable slots and load. They sum to 1.
func targetWeights(loads []HostLoad) map[string]float64 {
	targets := make(map[string]float64, len(loads))
	for _, l := range loads {
		if l.Usable > 0 {
			freeShare := min(1, max(minFreeShare, l.Free/float64(l.Usable)))
			targets[l.Host] = float64(l.Usable) * freeShare
		}
	}
	normalize(targets)
	return targets
}

func normalize(weights map[string]float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 {
		return
	}
	for host := range weights {
		weights[host] /= sum
	}
}
