package capacity

import "time"

// The target size and its budgets for each node.
const (
	targetDomains  = 18
	targetHosts    = 480
	targetServers  = 110
	changesPerDay  = 2_000
	lookupsPerNode = 320_000.0 / targetHosts
	day            = 24 * time.Hour

	processorBudget = 2.5
	residentBudget  = 32e6
	bytesBudget     = 14e3
	spreadBudget    = 11 * time.Second
)

// Periods of the calls that each host or delegate makes; see internal/config, internal/entry and internal/backend.
const (
	headPollsPerSecond  = 1 / 2.0
	listFetchesPerSec   = 1 / 2.0
	loadPollsPerHealth  = 1 / 4.0
	healthPollsPerServe = 1.0
)

// estimate is the computed use of one role at the target size, by cause.
type estimate struct {
	role role
	// heartbeats is the measured host of a failure domain with 27 hosts; summaries is what the other 17 failure domains add.
	heartbeats, summaries use
	// changes, polls, store are bytes a second of configuration changes, polls of backend servers, and calls of the platform.
	changes, polls, store float64
	// changeProcessor and pollProcessor are percent of a core.
	changeProcessor, pollProcessor float64
	// blocks is the resident memory that 160,000 blocks add.
	blocks float64
}

func (e estimate) processor() float64 {
	return e.heartbeats.processor + e.summaries.processor + e.changeProcessor + e.pollProcessor
}

func (e estimate) resident() float64 {
	return e.heartbeats.resident + e.summaries.resident + e.blocks
}

func (e estimate) bytes() float64 {
	return e.heartbeats.bytes() + e.summaries.bytes() + e.changes + e.polls + e.store
}

// estimates computes the roles at the target size.
func (r *Report) estimates() []estimate {
	var list []estimate
	for role := range roleCount {
		e := estimate{role: role, heartbeats: r.largest().mean[role], summaries: r.summaries(role)}
		e.changes, e.changeProcessor = r.changes()
		e.polls, e.pollProcessor = r.polls()
		if role != member {
			e.store = headPollsPerSecond*r.calls.headPoll + listFetchesPerSec*r.calls.listPoll
		}
		e.blocks = r.blocks[len(r.blocks)-1].mean[firstDelegate].resident - r.servers[0].mean[firstDelegate].resident
		list = append(list, e)
	}
	return list
}

// largest is the sample of one failure domain with 27 hosts.
func (r *Report) largest() sample { return r.oneDomain[len(r.oneDomain)-1] }

// summaries is what the 17 other failure domains of 27 hosts add to a host of a role. A second failure domain of n hosts
// adds the difference between two failure domains of n hosts and one. The difference is extended to 27 hosts: as a line
// for members and for what a delegate exchanges, and for the pulls of members, which both delegates answer, as the product
// of members and bytes of a pull.
func (r *Report) summaries(which role) use {
	others := float64(targetDomains - 1)
	field := func(get func(use) float64, which role) float64 { return fit(r.added(get, which)).at(largestDomain) }
	sent, received := func(u use) float64 { return u.sent }, func(u use) float64 { return u.received }
	added := use{
		processor: max(0, field(func(u use) float64 { return u.processor }, which)),
		resident:  max(0, field(func(u use) float64 { return u.resident }, which)),
		sent:      field(sent, which),
		received:  field(received, which),
	}
	if which != member {
		pulls := float64(largestDomain-2) / 2
		pull := fit(r.added(received, member)).at(largestDomain)
		added.sent = r.exchanged(sent) + pulls*pull
		added.received = r.exchanged(received)
	}
	return use{others * added.processor, others * added.resident, others * added.sent, others * added.received}
}

// added lists what a second failure domain adds to a host of a role, by the hosts of a failure domain.
func (r *Report) added(get func(use) float64, which role) []point {
	var points []point
	for i, two := range r.twoDomains {
		one := r.oneDomain[i]
		points = append(points, point{float64(two.shape.hostsPerDomain), get(two.mean[which]) - get(one.mean[which])})
	}
	return points
}

// exchanged is what a delegate exchanges with one other failure domain of 27 hosts: the slope over failure domains of two
// hosts, scaled by the sizes of the summaries.
func (r *Report) exchanged(get func(use) float64) float64 {
	var points []point
	for _, s := range r.domains {
		both := (get(s.mean[firstDelegate]) + get(s.mean[secondDelegate])) / 2
		points = append(points, point{float64(s.shape.domains), both})
	}
	return fit(points).perUnit * r.summarySize(largestDomain, 2) / r.summarySize(2, 1)
}

func (r *Report) summarySize(hosts, services int) float64 {
	for _, m := range r.messages {
		if m.hosts == hosts && m.services == services {
			return float64(m.summary)
		}
	}
	return 0
}

// changes is what 2,000 changes a day cost, one fifth of each measured kind. Each host receives a change once and sends it
// to one other host on average.
func (r *Report) changes() (bytesPerSecond, processor float64) {
	cost := r.policies[len(r.policies)-1].changes
	var transferred uint64
	var busy time.Duration
	for _, c := range cost {
		transferred += c.transferred
		busy += c.decode + c.build
	}
	perSecond := changesPerDay / day.Seconds() / float64(len(cost))
	return 2 * float64(transferred) * perSecond, 100 * busy.Seconds() * perSecond
}

// polls is what the polls of backend servers cost a host of the largest failure domain. The measured host with 27 peers
// polls almost none.
func (r *Report) polls() (bytesPerSecond, processor float64) {
	polled := fitTrackers(r.trackers).at(targetServers)
	var points []point
	for _, s := range r.servers {
		points = append(points, point{float64(s.shape.serversPerDomain), s.mean[firstDelegate].processor})
	}
	return polled * healthPollsPerServe * (r.calls.health + loadPollsPerHealth*r.calls.load), polled * fit(points).perUnit
}

// fitTrackers is the slope of the backend servers that a host polls.
func fitTrackers(costs []serverCost) line {
	var points []point
	for _, c := range costs {
		points = append(points, point{float64(c.servers), c.polled})
	}
	return fit(points)
}

// storeCalls is the slope of the store calls a second over failure domains with two delegates.
func (r *Report) storeCalls() line {
	var points []point
	for _, s := range r.domains {
		points = append(points, point{float64(2 * s.shape.domains), s.storeCalls})
	}
	return fit(points)
}

// spread is the slope of the longest spread of a change over failure domains.
func (r *Report) spread() time.Duration {
	var points []point
	for _, s := range r.domains {
		points = append(points, point{float64(s.shape.domains), float64(s.spread[len(s.spread)-1])})
	}
	return time.Duration(fit(points).at(targetDomains))
}
