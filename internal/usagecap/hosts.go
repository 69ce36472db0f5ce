package usagecap

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hosts are the hosts that share the caps, as one of them knows them.
type hosts struct {
	self, domain string
	// domains holds the failure domains of the hosts that are listed now, counted has the hosts that left recently as well.
	domains  map[string]string
	departed map[string]time.Time
	listedAt time.Time
	// confirmedAt is the time up to which the store has confirmed the list.
	confirmedAt time.Time
	// roots and allocators are the preferred hosts of each group, among all hosts and in the own failure domain.
	roots, allocators [groups]string
	// domainCount is the number of failure domains.
	domainCount float64
}

func (h *hosts) observe(listed map[string]string, now time.Time) {
	for id := range h.domains {
		if _, still := listed[id]; !still && id != h.self {
			h.departed[id] = now
		}
	}
	previous := h.domains
	h.domains = maps.Clone(listed)
	if h.domains == nil {
		h.domains = map[string]string{}
	}
	if _, isListed := listed[h.self]; isListed && h.listedAt.IsZero() {
		h.listedAt, h.confirmedAt = now, now
	}
	h.domains[h.self] = h.domain
	if !maps.Equal(previous, h.domains) {
		h.assign()
	}
	maps.DeleteFunc(h.departed, func(id string, at time.Time) bool {
		_, back := h.domains[id]
		return back || now.Sub(at) >= departedHold
	})
}

// count returns the number of hosts that share the caps, with those that left recently: they may only be cut off.
func (h *hosts) count(now time.Time) int {
	n := len(h.domains)
	for _, at := range h.departed {
		if now.Sub(at) < departedHold {
			n++
		}
	}
	return n
}

// ownPart returns the part of an equal share that this host may use or give away.
func (h *hosts) ownPart(now time.Time) float64 {
	switch {
	case h.listedAt.IsZero(), now.Sub(h.listedAt) < joinWait:
		return 0
	case now.Sub(h.confirmedAt) > cutOffAfter:
		return cutOffPart
	default:
		return 1
	}
}

// isDirect reports whether all hosts report to the roots.
func (h *hosts) isDirect() bool { return len(h.domains) <= maxDirectHosts }

// assign chooses the preferred hosts. No host has two roles if there are enough, since the messages of one role use a large part of the
// budget of a host. The loss of a host changes the role of few others.
func (h *hosts) assign() {
	byDomain := map[string][]string{}
	for id, d := range h.domains {
		byDomain[d] = append(byDomain[d], id)
	}
	h.domainCount = float64(len(byDomain))
	taken := map[string]bool{}
	if !h.isDirect() {
		for d, ids := range byDomain {
			for g := range groups {
				chosen := topScored(ids, g, domainSalt, taken)
				taken[chosen] = true
				if d == h.domain {
					h.allocators[g] = chosen
				}
			}
		}
	}
	all := slices.Collect(maps.Keys(h.domains))
	for g := range groups {
		h.roots[g] = topScored(all, g, rootSalt, taken)
		taken[h.roots[g]] = true
	}
}

// rootInterval returns the shortest time between two reports to a root, which receives those of all failure domains.
func (h *hosts) rootInterval() time.Duration {
	return time.Duration(h.domainCount * float64(rootIntervalPerDomain))
}

// rootIntervalPerDomain limits a root to 100 reports a second. With 60, demand that moved on 480 hosts found its tokens seconds later.
const rootIntervalPerDomain = 10 * time.Millisecond

// The salts keep the orders of roots and of the allocators of failure domains independent.
const (
	domainSalt = "d"
	rootSalt   = "r"
)

func score(id string, group int, salt string) uint64 {
	return xxhash.Sum64String(salt + string(rune('0'+group)) + id)
}

// topScored returns the host with the highest score for a group, if possible one that is not taken.
func topScored(ids []string, group int, salt string, taken map[string]bool) string {
	best, bestScore, bestFree := "", uint64(0), false
	for _, id := range ids {
		s, free := score(id, group, salt), !taken[id]
		if best == "" || free && !bestFree || free == bestFree && (s > bestScore || s == bestScore && id < best) {
			best, bestScore, bestFree = id, s, free
		}
	}
	return best
}

// best returns the allocator of a group among the listed hosts of a failure domain, or among all if domain is empty. All hosts with
// the same list compute the same one. It returns this host if no other may be used.
func (h *hosts) best(group int, domain string, avoid func(host string) bool) string {
	preferred, salt := h.allocators[group], domainSalt
	if domain == "" || h.isDirect() {
		preferred, salt = h.roots[group], rootSalt
	}
	if d, isListed := h.domains[preferred]; isListed && (domain == "" || d == domain) && (preferred == h.self || !avoid(preferred)) {
		return preferred
	}
	bestHost, bestScore := h.self, uint64(0)
	for id, d := range h.domains {
		if domain != "" && d != domain || id != h.self && avoid(id) {
			continue
		}
		if s := score(id, group, salt); s > bestScore || s == bestScore && id < bestHost {
			bestHost, bestScore = id, s
		}
	}
	return bestHost
}
