package placement

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// A backend server in need names the requests per second that it takes from all hosts together. Hosts exchange no messages about it:
// each computes its share from the hosts that it knows. The shares of all hosts add up to usedLimitShare of the limit, and bursts
// stay within what the platform allows, for any number of hosts and also while they join, leave, restart or are cut off:
//
//   - A host that is no longer listed is counted further: it may only be cut off and use its share.
//   - A host that is cut off for long uses a part of its share, since the others have stopped to count it.
//   - So does a host that was listed recently: it may not yet know all others, nor they it, and it does not know of those that were
//     cut off before.
//   - If a limit is too small for a share of each host, some of them share it, and others after them.
//   - Hosts in the region of the server get most of the limit, since they send it most of its requests.

const (
	// usedLimitShare is the part of a limit that all hosts use together. Requests that are delayed on their way arrive with later ones.
	usedLimitShare = 0.9
	// minTotalRate is the rate in requests per second at which all hosts together try a server that takes none, since only a response
	// shows that the limit has ended.
	minTotalRate = 0.1
	// ownRegionPart is the part of a limit that the hosts in the region of the server share, if there are others.
	ownRegionPart = 0.75
	// sharersPerRequest is the number of hosts that share a part of a limit, for each request per second of the part. There are at least
	// minOwnSharers in the region of the server and minFarSharers elsewhere. Each of them may send requestDepth requests at once; the
	// platform tolerates bursts of about twice the limit.
	sharersPerRequest = 1.5
	minOwnSharers     = 2
	minFarSharers     = 1
	// turnLength is the shortest time for which the same hosts share a limit that is too small for all. While a host's share of a turn is
	// below tokensPerTurn, turns have twice the length: a host that never sends a request would not learn that the limit has ended.
	turnLength    = 10 * time.Second
	tokensPerTurn = 2.0
	// departedHold is the time for which a host counts after it was last listed, and cutOffAfter the time without confirmation of its own
	// entry after which a host counts as cut off. The difference covers the time in which a departure becomes known.
	departedHold = 30 * time.Second
	cutOffAfter  = 20 * time.Second
	// partialShare is the part of its share that a host uses while it may not know all hosts that share the limit.
	partialShare = 0.25
)

// sharers are the hosts that share the limits of servers, as one of them knows them.
type sharers struct {
	self, region string
	// regions holds the regions of the hosts that are listed or were listed until a short time ago. departed has the times at which those
	// that are not listed left.
	regions  map[string]string
	departed map[string]time.Time
	// inside and outside hold the sorted ids of the hosts inside and outside of each region.
	inside, outside map[string][]string
	// listed is true if this host is listed now; listedAt is the time of its first listing, zero before.
	listed   bool
	listedAt time.Time
	// confirmedAt is the time up to which the store has confirmed this host's entry.
	confirmedAt time.Time
	// generation changes with regions.
	generation int
}

func newSharers(self, region string) sharers {
	return sharers{self: self, region: region, regions: map[string]string{self: region}, departed: map[string]time.Time{}, inside: map[string][]string{}, outside: map[string][]string{}}
}

// observe records the hosts of a new view.
func (s *sharers) observe(hosts map[string]*catalog.Host, now time.Time) {
	for id := range s.regions {
		if _, left := s.departed[id]; hosts[id] == nil && !left && id != s.self {
			s.departed[id] = now
		}
	}
	maps.DeleteFunc(s.departed, func(id string, at time.Time) bool { return hosts[id] != nil || now.Sub(at) >= departedHold })
	regions := map[string]string{s.self: s.region}
	for id, h := range hosts {
		regions[id] = h.Region
	}
	for id := range s.departed {
		regions[id] = s.regions[id]
	}
	if !maps.Equal(regions, s.regions) {
		s.regions, s.inside, s.outside = regions, map[string][]string{}, map[string][]string{}
		s.generation++
	}
	s.listed = hosts[s.self] != nil
	if s.listed && s.listedAt.IsZero() {
		s.listedAt, s.confirmedAt = now, now
	}
}

// confirm records the time up to which the store has confirmed the latest view.
func (s *sharers) confirm(at time.Time) {
	if s.listed && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// group returns the hosts inside or outside of a region.
func (s *sharers) group(region string, inside bool) []string {
	groups := s.outside
	if inside {
		groups = s.inside
	}
	if list, known := groups[region]; known {
		return list
	}
	var list []string
	for _, id := range slices.Sorted(maps.Keys(s.regions)) {
		if (s.regions[id] == region) == inside {
			list = append(list, id)
		}
	}
	groups[region] = list
	return list
}

// rateShare is a host's share of the limit of a server.
type rateShare struct {
	// perSecond is the share in requests per second, zero if the host has none now.
	perSecond float64
	// since is the time from which the host has had the share; zero if it always has one.
	since time.Time
}

// share returns this host's share of the limit in requests per second that a server in a region names.
func (s *sharers) share(server, region string, limit float64, now time.Time) rateShare {
	own := region == s.region
	hosts, part, maxSharers := s.group(region, own), 1-ownRegionPart, minFarSharers
	if own {
		part, maxSharers = ownRegionPart, minOwnSharers
	}
	if len(s.group(region, !own)) == 0 {
		part, maxSharers = 1, minOwnSharers+minFarSharers
	}
	rate := part * max(limit, minTotalRate)
	// The comparison comes before the conversion, which is undefined for large numbers.
	if wanted := sharersPerRequest * part * limit; wanted < float64(len(hosts)) {
		maxSharers += int(wanted)
	} else {
		maxSharers = len(hosts)
	}
	count := min(len(hosts), maxSharers)
	perSecond := usedLimitShare * rate / float64(max(1, count))
	share := rateShare{perSecond: perSecond}
	switch {
	case s.listedAt.IsZero():
		return rateShare{}
	case now.Sub(s.listedAt) < departedHold, now.Sub(s.confirmedAt) > cutOffAfter:
		share.perSecond *= partialShare
	}
	if count < len(hosts) {
		length := int64(lengthOfTurn(perSecond))
		turn := now.UnixNano() / length
		key := server + " " + strconv.FormatInt(turn, 10)
		if !slices.Contains(topScored(hosts, count, func(h string) uint64 { return score(key, h) }), s.self) {
			return rateShare{}
		}
		share.since = time.Unix(0, turn*length)
	}
	return share
}

// lengthOfTurn returns the length of turns in which a host has a share in requests per second. Since lengths are multiples of each
// other, hosts that know slightly different limits agree on most turns.
func lengthOfTurn(perSecond float64) time.Duration {
	length := turnLength
	for perSecond*length.Seconds() < tokensPerTurn {
		length *= 2
	}
	return length
}
