package usagecap

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// uplink is the state of the reports about a group to its allocator.
type uplink struct {
	address    Address
	fromDomain bool
	// pending is true while a call has not ended. sentAt is the time of the latest report.
	pending bool
	sentAt  time.Time
	// ackedAt is the time at which the latest acknowledged report was sent; tokens expire one lease after it.
	ackedAt time.Time
	// connected is true while the allocator responds. The host cedes its accrual from cededTo on then, and accrues for itself otherwise.
	connected bool
	cededTo   time.Time
	// urgent is true if tokens are lacking, hasCredit if credit was used.
	urgent, hasCredit bool
	// failures holds the hosts that did not respond.
	failures map[string]failure
	// misses is the number of calls that failed since the latest response.
	misses int
	// working is the allocator that responded last.
	working string
	// refusedSince is the time of the first of the latest reports that the allocator did not accept; zero if it accepted the latest one.
	refusedSince time.Time
}

type failure struct {
	until time.Time
	count int
}

// maxFailureCount bounds the growth of the time for which a host that does not respond is not called: 2, 4, then 8 s.
const maxFailureCount = 2

// Limiter decides which requests of customers a host admits. It is not safe for concurrent use.
type Limiter struct {
	incarnation int64
	hosts       hosts
	caps        map[string]Cap
	names       map[key]string
	accounts    map[string]*account
	// active holds the accounts of each group that reports mention.
	active   [groups]map[string]*account
	uplinks  [groups]*uplink
	domains  [groups]*allocator
	upward   [groups]*uplink
	roots    [groups]*allocator
	sequence uint64
	hotSets  [groups]hotSets
	changes  []ShareChange
}

// New returns the limiter of a host. incarnation is larger than those of earlier processes of the host.
func New(host, failureDomain string, incarnation int64) *Limiter {
	l := &Limiter{
		incarnation: incarnation, caps: map[string]Cap{}, names: map[key]string{}, accounts: map[string]*account{},
		hosts: hosts{self: host, domain: failureDomain, domains: map[string]string{host: failureDomain}, domainCount: 1, departed: map[string]time.Time{}},
	}
	for g := range groups {
		l.active[g] = map[string]*account{}
		l.uplinks[g] = &uplink{failures: map[string]failure{}}
		l.upward[g] = &uplink{failures: map[string]failure{}, fromDomain: true}
		l.domains[g], l.roots[g] = newAllocator(), newAllocator()
	}
	return l
}

// Configure sets the caps by customer and the failure domains by host. Customers without a positive rate have no cap.
func (l *Limiter) Configure(caps map[string]Cap, hostDomains map[string]string, now time.Time) {
	l.hosts.observe(hostDomains, now)
	n := l.hosts.count(now)
	for _, root := range l.roots {
		for k, p := range root.pools {
			root.accrue(p, l.caps[l.names[k]], n, now)
		}
	}
	used := map[string]Cap{}
	for name, c := range caps {
		if c.RatePerSecond > 0 {
			used[name] = Cap{c.RatePerSecond, max(0, c.Burst)}
		}
	}
	if maps.Equal(used, l.caps) {
		return
	}
	l.caps, l.names = used, make(map[key]string, len(used))
	for name := range used {
		l.names[keyOf(name)] = name
	}
	for name, a := range l.accounts {
		c, exists := used[name]
		if !exists {
			delete(l.accounts, name)
			delete(l.active[a.group], name)
			continue
		}
		a.cap = c
		a.granted, a.own = min(a.granted, c.depth()), min(a.own, c.depth()/float64(n))
	}
	for g := range groups {
		for _, allocator := range []*allocator{l.domains[g], l.roots[g]} {
			for k, p := range allocator.pools {
				c, exists := used[l.names[k]]
				if !exists {
					delete(allocator.pools, k)
					for _, child := range allocator.children {
						delete(child.lines, k)
					}
				}
				p.level = min(p.level, c.depth())
			}
		}
	}
}

// Confirm records the time up to which the store has confirmed the list of hosts.
func (l *Limiter) Confirm(at time.Time) {
	if at.After(l.hosts.confirmedAt) && !l.hosts.listedAt.IsZero() {
		l.hosts.confirmedAt = at
	}
}

// Rejoin records that other hosts count this host although it has just started, since an earlier process of it is still listed. The host need
// not wait until it is counted, and has its share from the start of the process on. It is called after Configure.
func (l *Limiter) Rejoin(startedAt, now time.Time) {
	l.hosts.listedAt, l.hosts.confirmedAt = now.Add(-joinWait), now
	for _, up := range l.uplinks {
		up.cededTo = startedAt
	}
}

// Pause discards what this host held before a pause of the process, in which tokens may have expired.
func (l *Limiter) Pause(now time.Time) {
	for _, a := range l.accounts {
		a.granted, a.own, a.ownAt = 0, 0, now
	}
	for g := range groups {
		l.domains[g], l.roots[g] = newAllocator(), newAllocator()
		for _, up := range []*uplink{l.uplinks[g], l.upward[g]} {
			up.connected, up.cededTo = false, now
		}
	}
}

// Enabled reports whether a customer has a cap. Otherwise no report is due.
func (l *Limiter) Enabled() bool { return len(l.caps) > 0 }

// Admit decides about a request of a customer. Rank 0 is the most urgent.
func (l *Limiter) Admit(customer string, rank int, now time.Time) Decision {
	c, capped := l.caps[customer]
	if !capped {
		return Decision{Admitted: true}
	}
	a := l.account(customer, c, now)
	up := l.uplinks[a.group]
	l.refresh(a, up, now)
	a.demand.add(1, now, demandTime)
	a.smoothed.add(1, now, reportedTime)
	a.requestedAt = now
	n := l.hosts.count(now)
	target, tokens := a.target(n, now), a.granted+a.own
	part := l.hotSets[a.group].host.part(a.key)
	d := Decision{Share: a.received.value(now, shareTime), Cap: c.RatePerSecond}
	// What is kept follows the share: a host that receives few tokens, as under a cut, would otherwise keep all of them.
	kept := 0.0
	if usual := min(target, d.Share*horizon.Seconds()); rank > 0 && usual >= 1/urgentPart {
		kept = urgentPart * usual
	}
	// Where tokens arrive at a high rate, credit of other ranks would use up what is kept for rank 0.
	mayBorrow := rank == 0 || part == 1 || target < 1/urgentPart
	switch {
	case tokens >= 1+kept:
		a.take()
		d.Admitted, d.Reason = true, ReasonToken
	case mayBorrow && up.connected && now.Sub(up.ackedAt) <= creditTime && a.borrowed+a.borrowing+1 <= a.credit(n) && a.useCredit(part, rank):
		a.borrowed++
		d.Admitted, d.Reason = true, ReasonCredit
	case !up.connected:
		d.Reason = ReasonDisconnected
	case tokens >= 1:
		d.Reason = ReasonKeptForUrgent
	case part < 1:
		d.Reason = ReasonCapExceeded
	default:
		d.Reason = ReasonShareSpent
	}
	if d.Admitted {
		a.admitted++
	} else {
		a.rejected++
		d.RetryAfter = retryAfter(a, d.Share, now)
	}
	if a.granted < target/2 || !d.Admitted {
		up.urgent = true
	}
	up.hasCredit = up.hasCredit || a.borrowed > 0
	return d
}

// retryAfter spreads the requests that were rejected over the time in which the host receives tokens for them.
func retryAfter(a *account, share float64, now time.Time) time.Duration {
	wait := 1.0
	if share > 0 {
		wait = max(1, a.demand.value(now, demandTime)/share) * minRetryAfter.Seconds()
	}
	return time.Duration(min(max(wait, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// shareTime is the time constant of the share that is reported.
const shareTime = 2 * time.Second

// Return gives back the token of a request that was admitted and has not been sent.
func (l *Limiter) Return(customer string, now time.Time) {
	a := l.accounts[customer]
	if a == nil || a.admitted == 0 {
		return
	}
	l.refresh(a, l.uplinks[a.group], now)
	a.admitted--
	if a.borrowed >= 1 {
		a.borrowed--
		return
	}
	a.granted = min(a.granted+1, a.cap.depth())
}

func (l *Limiter) account(customer string, c Cap, now time.Time) *account {
	a := l.accounts[customer]
	if a == nil {
		k := keyOf(customer)
		a = &account{name: customer, key: k, group: int(k % groups), cap: c, ownAt: now}
		// Hosts with few requests begin at different parts of a request, so that together they use credit as often as they should.
		a.creditDue = float64(xxhash.Sum64String(l.hosts.self+customer)) / math.MaxUint64
		if up := l.uplinks[a.group]; !up.connected {
			a.ownAt = up.cededTo
		}
		if a.ownAt.IsZero() {
			a.ownAt = now
		}
		l.accounts[customer] = a
	}
	l.active[a.group][customer] = a
	return a
}

// refresh removes expired tokens and adds the host's own share.
func (l *Limiter) refresh(a *account, up *uplink, now time.Time) {
	l.checkConnection(up, now)
	if now.Sub(up.ackedAt) > lease {
		a.granted = 0
	}
	if up.connected {
		a.ownAt = now
		return
	}
	a.accrueOwn(l.hosts.self, l.hosts.count(now), l.hosts.ownPart(now), now)
}

// disconnectAfter is the time without an acknowledged report after which a host uses its own share.
const disconnectAfter = 1100 * time.Millisecond

// checkConnection ends the connection if no report was acknowledged for long.
func (l *Limiter) checkConnection(up *uplink, now time.Time) {
	if up.connected && now.Sub(up.ackedAt) > disconnectAfter {
		l.disconnect(up, now)
	}
}

func (l *Limiter) disconnect(up *uplink, now time.Time) {
	if !up.connected {
		return
	}
	// What was accrued until now may have been given away with a report whose response is missing.
	up.connected, up.cededTo = false, now
	if !up.fromDomain {
		for _, a := range l.active[up.address.Group] {
			a.ownAt = now
		}
	}
}
