package usagecap

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Outgoing is a report that is due.
type Outgoing struct {
	To     Address
	Report Report
}

// Reports returns the reports that are due. For each of them, Delivered or Failed must be called.
func (l *Limiter) Reports(now time.Time) []Outgoing {
	if !l.Enabled() {
		return nil
	}
	var due []Outgoing
	for g := range groups {
		if up := l.uplinks[g]; up.isDue(now) {
			l.chooseAllocator(g, up, now)
			r := l.report(g, up, now)
			r.Ceded = up.cede(l.hosts.ownPart(now), now)
			r.Lines = l.hostLines(g, now)
			due = append(due, Outgoing{up.address, r})
		}
		if up := l.upward[g]; up.isDue(now) && now.Sub(up.sentAt) >= l.hosts.rootInterval() && l.domains[g].isUsed() {
			domain := l.domains[g]
			domain.sweep(now)
			l.chooseAllocator(g, up, now)
			r := l.report(g, up, now)
			if up.connected {
				r.Ceded = domain.ceded - domain.passed
			}
			domain.passed = domain.ceded
			r.Lines = domain.rootLines(now)
			due = append(due, Outgoing{up.address, r})
		}
	}
	return due
}

func (u *uplink) isDue(now time.Time) bool {
	since := now.Sub(u.sentAt)
	return !u.pending && (since >= reportInterval || u.hasCredit && since >= creditInterval || u.urgent && since >= urgentInterval)
}

// cede returns the accrual in host-seconds since the latest report. While the host is not connected it keeps its accrual.
func (u *uplink) cede(part float64, now time.Time) float64 {
	if !u.connected {
		return 0
	}
	ceded := part * min(seconds(now.Sub(u.cededTo)), maxCeded.Seconds())
	u.cededTo = now
	return ceded
}

// chooseAllocator selects the host to report to. After two hosts that did not respond it is one nearby, so that a host behind a cut
// does not try all hosts on the other side.
func (l *Limiter) chooseAllocator(g int, up *uplink, now time.Time) {
	avoid := func(host string) bool { return now.Before(up.failures[host].until) }
	isRoot := up.fromDomain || l.hosts.isDirect()
	domain := ""
	if !isRoot || up.misses >= nearbyAfter {
		domain = l.hosts.domain
	}
	address := Address{Group: g, Root: isRoot, Host: l.hosts.best(g, domain, avoid)}
	if up.misses >= selfAfter || !up.fromDomain && !isRoot && up.misses >= nearbyAfter {
		address.Host = l.hosts.self
	}
	// A trial of a better allocator that failed must not end the connection to the one that works.
	if _, isListed := l.hosts.domains[up.working]; up.misses > 0 && isListed && !avoid(up.working) {
		address.Host = up.working
	}
	if address == up.address {
		return
	}
	// The new allocator needs all lines.
	up.address = address
	if up.fromDomain {
		for _, p := range l.domains[g].pools {
			p.lineAt = time.Time{}
		}
		return
	}
	for _, a := range l.active[g] {
		a.lineAt = time.Time{}
	}
}

const (
	// nearbyAfter is the number of failed calls after which a host uses an allocator in its failure domain, selfAfter that after
	// which it is its own allocator.
	nearbyAfter = 2
	selfAfter   = 3
)

func (l *Limiter) report(g int, up *uplink, now time.Time) Report {
	up.pending, up.urgent, up.hasCredit, up.sentAt = true, false, false, now
	l.sequence++
	return Report{Sender: l.hosts.self, Incarnation: l.incarnation, Group: g, Root: up.address.Root, FromDomain: up.fromDomain, Sequence: l.sequence}
}

// hostLines returns the lines of the customers with traffic on this host.
func (l *Limiter) hostLines(g int, now time.Time) []byte {
	var encoded []byte
	up, n := l.uplinks[g], l.hosts.count(now)
	for name, a := range l.active[g] {
		if len(encoded) >= maxLineBytes {
			break
		}
		l.refresh(a, up, now)
		target := a.target(n, now)
		isIdle := now.Sub(a.requestedAt) > idleAfter
		if isIdle {
			target = 0
		}
		out := line{key: a.key, demand: a.smoothed.value(now, reportedTime), want: max(0, target-a.granted-a.own)}
		if out.demand < minDemand {
			out.demand = 0
		}
		if a.granted > 2*target+1 || target == 0 && now.Sub(a.requestedAt) > returnAfter {
			out.returned = roundDown(a.granted - target)
			a.granted -= out.returned
		}
		a.borrowing += a.borrowed
		out.borrowed, a.borrowed = a.borrowing, 0
		out.held = a.granted + a.own
		if isIdle && a.granted < unit && a.borrowing == 0 {
			out.held, out.demand, out.want = 0, 0, 0
			delete(l.active[g], name)
		} else if !isLineDue(out, a.lineAt, a.lineDemand, a.wanted, now) {
			continue
		}
		a.lineAt, a.lineDemand, a.wanted = now, out.demand, out.want > 0
		encoded = appendLine(encoded, out)
	}
	return encoded
}

// maxLineBytes bounds the lines of a report; the next one has the others. The peer port accepts requests of 16 KB.
const maxLineBytes = 12 << 10

// returnAfter is the time without a request after which a host returns the tokens that it does not need.
const returnAfter = time.Second

// minDemand is the demand in requests per second below which it counts as none.
const minDemand = 0.05

// isLineDue reports whether a line differs enough from the latest one about the same customer to be sent.
func isLineDue(l line, sentAt time.Time, sentDemand float64, wanted bool, now time.Time) bool {
	return l.want >= unit || wanted || l.returned > 0 || l.borrowed > 0 || now.Sub(sentAt) >= lineInterval ||
		math.Abs(l.demand-sentDemand) > 0.5+sentDemand/4
}

// rootLines returns the lines of a domain's allocator to the root.
func (a *allocator) rootLines(now time.Time) []byte {
	var encoded []byte
	for k, p := range a.pools {
		if len(encoded) >= maxLineBytes {
			break
		}
		demand, want, held := p.sums()
		if p.level < 0 {
			p.borrowing -= p.level
			p.level = 0
		}
		target := want + demand*domainReserve.Seconds()
		out := line{key: k, demand: demand, want: max(0, target-p.level), borrowed: p.borrowing}
		if surplus := p.level - target; surplus > target+1 || surplus > 0 && len(p.holders) == 0 {
			out.returned = roundDown(surplus)
			p.level -= out.returned
		}
		out.held = held + p.level
		if len(p.holders) == 0 && p.level < unit && p.borrowing == 0 {
			out.held = 0
			delete(a.pools, k)
		} else if !isLineDue(out, p.lineAt, p.lineDemand, p.wanted, now) {
			continue
		}
		p.lineAt, p.lineDemand, p.wanted = now, out.demand, out.want > 0
		encoded = appendLine(encoded, out)
	}
	return encoded
}

// isUsed reports whether a domain's allocator has children, or has to report what they borrowed.
func (a *allocator) isUsed() bool {
	if len(a.children) > 0 {
		return true
	}
	for _, p := range a.pools {
		if p.level < 0 || p.borrowing > 0 {
			return true
		}
	}
	return false
}

// domainReserve is the time for which a domain's allocator holds tokens at the present demand.
const domainReserve = 150 * time.Millisecond

// Accept handles the report of another host or of this one.
func (l *Limiter) Accept(r *Report, now time.Time) (Reply, error) {
	if r.Group < 0 || r.Group >= groups {
		return Reply{}, Error.New("a report for group %d", r.Group)
	}
	lines, err := decodeLines(r.Lines)
	if err != nil || !l.Enabled() {
		return Reply{}, err
	}
	known := lines[:0]
	for _, line := range lines {
		if _, isKnown := l.names[line.key]; isKnown && int(line.key%groups) == r.Group {
			known = append(known, line)
		}
	}
	n := l.hosts.count(now)
	if r.Root {
		return l.acceptAsRoot(r, known, n, now), nil
	}
	return l.acceptForDomain(r, known, n, now), nil
}

func (l *Limiter) acceptAsRoot(r *Report, lines []line, n int, now time.Time) Reply {
	root := l.roots[r.Group]
	root.sweep(now)
	c := root.accept(r, lines, n, now)
	if c == nil {
		return Reply{}
	}
	reply := Reply{Accepted: true}
	for k, p := range root.pools {
		limits := l.caps[l.names[k]]
		root.accrue(p, limits, n, now)
		if line := c.lines[k]; line != nil {
			if tokens := root.grant(p, line); tokens > 0 {
				reply.Grants = appendGrant(reply.Grants, grant{k, tokens})
			}
		}
		if part := root.creditPart(p, limits, n, now); part < 1 && len(p.holders) > 0 {
			reply.Hot = appendHot(reply.Hot, k, part)
		}
	}
	if len(reply.Hot) > maxHotBytes || root.ceded < rootWarmup.Seconds()*float64(n) {
		reply.Hot = appendHot(nil, allCustomers, 0)
	}
	return reply
}

const (
	// maxHotBytes bounds the list of customers with little credit. If it is longer, no customer has credit.
	maxHotBytes = 9 * 400
	// rootWarmup is the accrual that a new root receives before hosts may take credit.
	rootWarmup = 150 * time.Millisecond
)

func (l *Limiter) acceptForDomain(r *Report, lines []line, n int, now time.Time) Reply {
	domain, up := l.domains[r.Group], l.upward[r.Group]
	l.checkConnection(up, now)
	domain.sweep(now)
	if !up.connected {
		// The sender keeps its accrual and its tokens. The next report to the root is due as long as the domain has a child.
		id := childID{r.Sender, r.FromDomain}
		if domain.children[id] == nil {
			domain.children[id] = &child{lines: map[key]*childLine{}}
		}
		domain.children[id].reportedAt = now
		return Reply{}
	}
	c := domain.accept(r, lines, n, now)
	if c == nil {
		return Reply{}
	}
	reply := Reply{Accepted: true}
	for k, line := range c.lines {
		p := domain.pools[k]
		if tokens := domain.grant(p, line); tokens > 0 {
			reply.Grants = appendGrant(reply.Grants, grant{k, tokens})
		}
		up.urgent = up.urgent || line.want > 0
		up.hasCredit = up.hasCredit || p.level < 0
	}
	if now.Sub(up.ackedAt) > creditTime {
		reply.Hot = appendHot(nil, allCustomers, 0)
		return reply
	}
	hot := l.hotSets[r.Group].domain
	for k, p := range domain.pools {
		if p.borrowing-p.level > 1+domainDebt/l.hosts.domainCount*l.caps[l.names[k]].depth() {
			reply.Hot = appendHot(reply.Hot, k, 0)
		} else if part, isHot := hot[k]; isHot {
			reply.Hot = appendHot(reply.Hot, k, part)
		}
	}
	for k, part := range hot {
		if domain.pools[k] == nil {
			reply.Hot = appendHot(reply.Hot, k, part)
		}
	}
	return reply
}

const (
	// creditTime is the time for which credit is allowed after the latest acknowledged report was sent. A missing report ends it.
	creditTime = 700 * time.Millisecond
	// domainDebt is the part of the depth that the hosts of all domains may borrow before the root knows of it.
	domainDebt = 0.4
)

// hotSets holds the customers of a group with little credit: as this host has learned for itself, and for its domain's allocator.
type hotSets struct {
	host, domain hotSet
}

// Delivered handles the reply to a report.
func (l *Limiter) Delivered(o *Outgoing, reply *Reply, now time.Time) error {
	up := l.uplink(o)
	grants, hot, err := decodeReply(reply)
	if err != nil {
		l.Failed(o, now)
		return err
	}
	if !reply.Accepted {
		up.pending = false
		l.restoreBorrowing(o)
		if up.refusedSince.IsZero() {
			up.refusedSince = now
		} else if now.Sub(up.refusedSince) > maxRefusal {
			l.Failed(o, now)
		}
		return nil
	}
	up.pending, up.misses, up.refusedSince = false, 0, time.Time{}
	delete(up.failures, o.To.Host)
	up.working = o.To.Host
	if now.Sub(up.sentAt) > lease {
		return nil
	}
	up.ackedAt = up.sentAt
	if !up.connected {
		l.connect(up, o.To.Group, now)
	}
	if up.fromDomain {
		l.receiveForDomain(o.To.Group, grants, hot)
		return nil
	}
	l.hotSets[o.To.Group].host = hot
	for _, a := range l.active[o.To.Group] {
		a.borrowing = 0
	}
	for _, g := range grants {
		a := l.accounts[l.names[g.key]]
		if a == nil {
			continue
		}
		a.granted = min(a.granted+g.tokens, a.cap.depth())
		a.received.add(g.tokens, now, shareTime)
		l.noteShare(a, now)
	}
	return nil
}

// maxRefusal is the time after which another allocator is used if one responds but refuses reports. It needs a root first, and finds
// another one after up to three calls without a response.
const maxRefusal = 2500 * time.Millisecond

func (l *Limiter) connect(up *uplink, group int, now time.Time) {
	if up.fromDomain {
		l.domains[group].passed = l.domains[group].ceded
	} else {
		for _, a := range l.active[group] {
			l.refresh(a, up, now)
		}
	}
	up.connected, up.cededTo = true, now
}

func (l *Limiter) receiveForDomain(group int, grants []grant, hot hotSet) {
	domain := l.domains[group]
	l.hotSets[group].domain = hot
	for _, p := range domain.pools {
		p.borrowing = 0
	}
	for _, g := range grants {
		if p := domain.pools[g.key]; p != nil {
			p.level += g.tokens
		}
	}
}

// Failed handles a report without a reply.
func (l *Limiter) Failed(o *Outgoing, now time.Time) {
	up := l.uplink(o)
	up.pending, up.refusedSince = false, time.Time{}
	up.misses++
	f := up.failures[o.To.Host]
	up.failures[o.To.Host] = failure{now.Add(allocatorBackoff << f.count), min(f.count+1, maxFailureCount)}
	l.restoreBorrowing(o)
	l.checkConnection(up, now)
	up.urgent = true
}

// restoreBorrowing keeps the borrowing of a report without effect for the next one.
func (l *Limiter) restoreBorrowing(o *Outgoing) {
	// account.borrowing and pool.borrowing stay until they are acknowledged, so only the line has to be sent again.
	if o.Report.FromDomain {
		for _, p := range l.domains[o.To.Group].pools {
			p.lineAt = time.Time{}
		}
		return
	}
	for _, a := range l.active[o.To.Group] {
		a.lineAt = time.Time{}
	}
}

func (l *Limiter) uplink(o *Outgoing) *uplink {
	if o.Report.FromDomain {
		return l.upward[o.To.Group]
	}
	return l.uplinks[o.To.Group]
}

// ShareChange is a change of a customer's share on this host by a large part of the cap.
type ShareChange struct {
	Customer      string
	From, To, Cap float64
	Allocator     string
}

const (
	// shareChangePart is the part of the cap by which a share changes to be reported, shareChangeInterval the time between two
	// reports about a customer.
	shareChangePart     = 0.25
	shareChangeInterval = 5 * time.Second
)

func (l *Limiter) noteShare(a *account, now time.Time) {
	share := a.received.value(now, shareTime)
	if math.Abs(share-a.loggedShare) < shareChangePart*a.cap.RatePerSecond || now.Sub(a.loggedAt) < shareChangeInterval {
		return
	}
	l.changes = append(l.changes, ShareChange{a.name, a.loggedShare, share, a.cap.RatePerSecond, l.uplinks[a.group].address.Host})
	a.loggedShare, a.loggedAt = share, now
}

// Changes returns the changes of shares since the latest call.
func (l *Limiter) Changes() []ShareChange {
	changes := l.changes
	l.changes = nil
	return changes
}

// Usage returns the state of the customers that had traffic on this host.
func (l *Limiter) Usage(now time.Time) []Usage {
	var list []Usage
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		up := l.uplinks[a.group]
		l.refresh(a, up, now)
		u := Usage{
			Customer: name, CapPerSecond: a.cap.RatePerSecond, Burst: a.cap.Burst, SharePerSecond: a.received.value(now, shareTime),
			DemandPerSecond: a.demand.value(now, demandTime), Tokens: a.granted + a.own - a.borrowed - a.borrowing, Admitted: a.admitted, Rejected: a.rejected,
		}
		if up.connected {
			u.Allocator = up.address.Host
		}
		list = append(list, u)
	}
	return list
}
