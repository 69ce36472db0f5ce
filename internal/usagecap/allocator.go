package usagecap

import (
	"maps"
	"math"
	"slices"
	"time"
)

// childID identifies a host that reports to an allocator, by itself or for its failure domain.
type childID struct {
	host       string
	fromDomain bool
}

// child is what an allocator knows about a host that reports to it.
type child struct {
	incarnation int64
	sequence    uint64
	reportedAt  time.Time
	lines       map[key]*childLine
}

// childLine is the latest line of a child about a customer. held includes what was granted since.
type childLine struct {
	demand, want, held float64
}

// pool holds the tokens of a customer that no child holds.
type pool struct {
	// level is negative if children have borrowed more than there was.
	level float64
	// accruedTo is the value of allocator.ceded up to which a root has added tokens.
	accruedTo float64
	// holders are the children with a line.
	holders map[childID]*childLine
	// lineAt and lineDemand describe the latest line to the root.
	lineAt     time.Time
	lineDemand float64
	wanted     bool
	// borrowing is the part of the reported borrowing that is not acknowledged.
	borrowing float64
}

func (p *pool) sums() (demand, want, held float64) {
	for _, l := range p.holders {
		demand, want, held = demand+l.demand, want+l.want, held+l.held
	}
	return demand, want, held
}

// allocator gives tokens of the customers of a group to the hosts that report to it.
type allocator struct {
	children map[childID]*child
	pools    map[key]*pool
	// ceded is the accrual in host-seconds that children gave. A domain's allocator passes on what exceeds passed.
	ceded  float64
	passed float64
	// cededRate is the recent rate of ceded, in hosts; allowance is the accrual that may still be accepted, as of allowanceAt.
	cededRate   rate
	cededSince  time.Time
	allowance   float64
	allowanceAt time.Time
	// swept is the time of the latest removal of children that no longer report.
	swept time.Time
}

func newAllocator() *allocator {
	return &allocator{children: map[childID]*child{}, pools: map[key]*pool{}}
}

// cededTime is the time constant of allocator.cededRate.
const cededTime = time.Second

// accept records a report of a child. It returns nil if the report is not newer than the latest one.
func (a *allocator) accept(r *Report, lines []line, hostCount int, now time.Time) *child {
	id := childID{r.Sender, r.FromDomain}
	c := a.children[id]
	if c != nil && (r.Incarnation < c.incarnation || r.Incarnation == c.incarnation && r.Sequence <= c.sequence) {
		return nil
	}
	if c != nil && r.Incarnation > c.incarnation {
		a.remove(id)
		c = nil
	}
	if c == nil {
		c = &child{lines: map[key]*childLine{}}
		a.children[id] = c
	}
	c.incarnation, c.sequence, c.reportedAt = r.Incarnation, r.Sequence, now
	a.cede(r.Ceded, hostCount, now)
	for _, l := range lines {
		p := a.pool(l.key)
		p.level += l.returned - l.borrowed
		if l.demand == 0 && l.want == 0 && l.held == 0 {
			delete(c.lines, l.key)
			delete(p.holders, id)
			continue
		}
		entry := &childLine{l.demand, l.want, l.held}
		c.lines[l.key], p.holders[id] = entry, entry
	}
	return c
}

// cede adds accrual. More than the known hosts accrue is not accepted: hosts may briefly disagree about their number.
func (a *allocator) cede(hostSeconds float64, hostCount int, now time.Time) {
	if !(hostSeconds >= 0) {
		return
	}
	if a.allowanceAt.IsZero() {
		a.allowanceAt = now
	}
	if now.Sub(a.cededRate.at) > lease {
		a.cededSince = now
	}
	n := float64(hostCount)
	a.allowance = min(a.allowance+n*seconds(now.Sub(a.allowanceAt)), n*maxCeded.Seconds())
	a.allowanceAt = now
	accepted := min(hostSeconds, a.allowance)
	a.allowance -= accepted
	a.ceded += accepted
	a.cededRate.add(accepted, now, cededTime)
}

func (a *allocator) pool(k key) *pool {
	p := a.pools[k]
	if p == nil {
		p = &pool{holders: map[childID]*childLine{}}
		a.pools[k] = p
	}
	return p
}

func (a *allocator) remove(id childID) {
	for k := range a.children[id].lines {
		delete(a.pools[k].holders, id)
	}
	delete(a.children, id)
}

// sweep removes children whose tokens have expired. A child counts its lease from the time at which it sent its report, so it ends
// before the allocator's.
func (a *allocator) sweep(now time.Time) {
	if now.Sub(a.swept) < reportInterval {
		return
	}
	a.swept = now
	for _, id := range slices.Collect(maps.Keys(a.children)) {
		if now.Sub(a.children[id].reportedAt) > lease {
			a.remove(id)
		}
	}
}

// cedingPart returns the part of the hosts that cede their accrual to this allocator.
func (a *allocator) cedingPart(hostCount int, now time.Time) float64 {
	// The average is that of a shorter time while the allocator is new.
	known := 1 - math.Exp(-max(minCededTime, now.Sub(a.cededSince)).Seconds()/cededTime.Seconds())
	return min(1, a.cededRate.value(now, cededTime)/known/float64(max(1, hostCount)))
}

// minCededTime is the shortest time from which the number of ceding hosts is estimated.
const minCededTime = 400 * time.Millisecond

// limit is the number of tokens of a customer that may exist under a root.
func (a *allocator) limit(c Cap, hostCount int, now time.Time) float64 {
	return c.depth() * min(1, a.cedingPart(hostCount, now)*cededRateMargin)
}

// cededRateMargin is the margin by which the estimate of ceded accrual may be too low.
const cededRateMargin = 1.1

// accrue adds the tokens of a customer that a root has received accrual for.
func (a *allocator) accrue(p *pool, c Cap, hostCount int, now time.Time) {
	added := c.RatePerSecond / float64(max(1, hostCount)) * (a.ceded - p.accruedTo)
	p.accruedTo = a.ceded
	_, _, held := p.sums()
	if room := a.limit(c, hostCount, now) - held - p.level; room > 0 {
		p.level += min(added, room)
	}
}

// grant moves tokens to a child as far as it wants them and they suffice for all.
func (a *allocator) grant(p *pool, l *childLine) float64 {
	if l.want <= 0 || p.level <= 0 {
		return 0
	}
	_, wanted, _ := p.sums()
	tokens := l.want
	if wanted > p.level {
		// Less than one token is of no use to a host, so the first one gets it.
		tokens = max(l.want*p.level/wanted, min(1, l.want, p.level))
	}
	tokens = roundDown(tokens)
	p.level -= tokens
	l.held += tokens
	l.want -= tokens
	return tokens
}

// creditPart returns the part of a customer's requests that may use credit. Below hotLevel it is such that the requests use up the rate,
// and less the more has been borrowed.
func (a *allocator) creditPart(p *pool, c Cap, hostCount int, now time.Time) float64 {
	level := p.level / max(1, hotLevel*a.limit(c, hostCount, now))
	if level >= 1 {
		return 1
	}
	demand, _, _ := p.sums()
	part := c.RatePerSecond * a.cedingPart(hostCount, now) / max(demand, unit)
	return min(1, hotCredit*part*max(0, 1+level))
}

// hotCredit is the part of the rate that credit uses while the pool is empty.
const hotCredit = 1.0
