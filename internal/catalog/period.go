package catalog

import "time"

// timeRange is a period between two times. It is empty if it does not end after its start.
type timeRange struct{ from, to time.Time }

func (r timeRange) isEmpty() bool { return !r.from.Before(r.to) }

// intersection returns the part of a range that is in another one too.
func (r timeRange) intersection(other timeRange) timeRange {
	if other.isEmpty() {
		return timeRange{}
	}
	r.from = later(r.from, other.from)
	if other.to.Before(r.to) {
		r.to = other.to
	}
	return r
}

// hull returns the shortest range with two ranges in it.
func (r timeRange) hull(other timeRange) timeRange {
	switch {
	case r.isEmpty():
		return other
	case other.isEmpty():
		return r
	}
	if other.from.Before(r.from) {
		r.from = other.from
	}
	r.to = later(r.to, other.to)
	return r
}

// ago returns the range as times before now.
func (r timeRange) ago(now time.Time) Period {
	if r.isEmpty() {
		return Period{}
	}
	return Period{now.Sub(r.from), now.Sub(r.to)}
}

// Period is a period of the past, as times before the present. Hosts exchange periods in this form because their clocks differ. It is
// empty if From is not greater than To.
type Period struct{ From, To time.Duration }

// IsEmpty reports whether the period has no duration.
func (p Period) IsEmpty() bool { return p.From <= p.To }

// before returns the period as times, for a present of now.
func (p Period) before(now time.Time) timeRange { return timeRange{now.Add(-p.From), now.Add(-p.To)} }
