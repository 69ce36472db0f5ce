package lookup

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// weightPerSlot is the weight of one slot. Weights are integers, so a larger scale lets damping take effect on hosts with
// few slots.
const weightPerSlot = 100

// candidate is a host that may appear in a response.
type candidate struct {
	host   *policy.Host
	weight int
	// slotWeight is the weight derived from usable slots and damping. It stays set when weight is 0 and distributes overflow
	// among hosts of further sites.
	slotWeight int
	// score is the sort key among the hosts of one site, highest first.
	score float64
}

// candidates lists the hosts of a site that accept callers for a service, in descending order of score.
func candidates(hosts []*policy.Host, service string, view View, seed uint64) []candidate {
	list := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		v := view.Host(h.ID, service)
		if v.acceptsCallers() {
			weight := hostWeight(v)
			list = append(list, candidate{host: h, weight: weight, slotWeight: weight, score: hostScore(h.ID, weight, seed)})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.host.ID, y.host.ID))
	})
	return list
}

func hostWeight(v HostView) int {
	if v.Usable <= 0 || !(v.Weight > 0) {
		return 0
	}
	return max(1, int(math.Round(float64(v.Usable)*min(v.Weight, 1)*weightPerSlot)))
}

// hostScore computes a rendezvous hash. If a site has more hosts than fit into a response, resolvers with different seeds
// select different hosts, and the selection is stable while the hosts are the same. The score does not depend on the
// weight, because callers already apply the weights of the hosts in the response. Hosts with weight 0 come last.
func hostScore(id string, weight int, seed uint64) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(seed)
	_, _ = digest.WriteString(id)
	fraction := float64(digest.Sum64()>>11) / (1 << 53)
	if weight == 0 {
		return fraction - 1
	}
	return fraction
}
