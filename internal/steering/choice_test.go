package steering

import (
	"math"
	"math/rand/v2"
	"testing"
)

// loadSimulation simulates hosts with 3 to 18 slots that have their own load, and senders whose reports cover the previous second.
// A step is the time for which a request holds its slot, and one report covers 20 steps.
type loadSimulation struct {
	rng      *rand.Rand
	slots    []int
	smoothed []float64
}

const (
	simulatedHosts = 20
	stepsPerReport = 20
	reportCount    = 200
)

func newLoadSimulation() *loadSimulation {
	h := &loadSimulation{rng: testRNG()}
	for range simulatedHosts {
		n := 3 + h.rng.IntN(16)
		h.slots = append(h.slots, n)
		h.smoothed = append(h.smoothed, float64(n))
	}
	return h
}

// run sends requests for load times the free capacity and returns the share that is rejected by the first chosen host.
func (h *loadSimulation) run(load float64, pick func([]weightedHost, *rand.Rand) int) float64 {
	rejected, all := 0, 0
	for range reportCount {
		pool := make([]weightedHost, simulatedHosts)
		for i := range pool {
			pool[i].weight = max(0.05, h.smoothed[i])
		}
		free := make([]float64, simulatedHosts)
		for range stepsPerReport {
			r, a := h.step(load, pool, free, pick)
			rejected, all = rejected+r, all+a
		}
		weight := 1 - math.Exp(-0.5)
		for i := range h.smoothed {
			h.smoothed[i] += weight * (free[i]/stepsPerReport - h.smoothed[i])
		}
	}
	return float64(rejected) / float64(all)
}

func (h *loadSimulation) step(load float64, pool []weightedHost, free []float64, pick func([]weightedHost, *rand.Rand) int) (rejected, all int) {
	freeSlots := make([]int, simulatedHosts)
	total := 0
	for i, n := range h.slots {
		freeSlots[i] = n - h.rng.IntN(n*6/10+1)
		total += n
	}
	all = int(load * 0.7 * float64(total))
	for range all {
		i := pick(pool, h.rng)
		if freeSlots[i] == 0 {
			rejected++
			continue
		}
		freeSlots[i]--
	}
	for i := range free {
		free[i] += float64(freeSlots[i])
	}
	return rejected, all
}

func mostFree(pool []weightedHost, _ *rand.Rand) int {
	best := 0
	for i := range pool {
		if pool[i].weight > pool[best].weight {
			best = i
		}
	}
	return best
}

func bestOfTwo(pool []weightedHost, rng *rand.Rand) int {
	a, b := pickWeighted(pool, rng), pickWeighted(pool, rng)
	if pool[b].weight > pool[a].weight {
		return b
	}
	return a
}

func uniform(pool []weightedHost, rng *rand.Rand) int { return rng.IntN(len(pool)) }

// With reports of the previous second, senders that all prefer the host with the most headroom overload it. So proportional
// picking must be rejected less often than the other strategies.
func TestProportionalPickIsRejectedLeast(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
		inProportion := newLoadSimulation().run(load, pickWeighted)
		others := []float64{newLoadSimulation().run(load, mostFree), newLoadSimulation().run(load, bestOfTwo), newLoadSimulation().run(load, uniform)}
		t.Logf("load %.2f: rejected by the first chosen host: in proportion %.3f, most free %.3f, best of two %.3f, uniform %.3f",
			load, inProportion, others[0], others[1], others[2])
		for _, other := range others {
			if inProportion >= other {
				t.Errorf("load %.2f: share rejected: in proportion %.3f, another strategy %.3f", load, inProportion, other)
			}
		}
	}
}
