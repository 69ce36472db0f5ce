package membership

import (
	"slices"
	"time"
)

// Delegates returns the delegates of the failure domain: the lowest DelegateCount ids among this host and the reachable peers
// that are not leaving. Hosts with different known states may select different delegates for a short time, which only costs
// additional messages.
func (t *Table) Delegates(now time.Time) []string {
	ids := make([]string, 0, DelegateCount)
	for _, m := range t.Members(now) {
		if m.State == Leaving {
			continue
		}
		ids = append(ids, m.ID)
		if len(ids) == DelegateCount {
			break
		}
	}
	return ids
}

// IsDelegate reports whether this host is a delegate.
func (t *Table) IsDelegate(now time.Time) bool {
	return slices.Contains(t.Delegates(now), t.self.ID)
}
