package membership

import (
	"slices"
	"strings"
)

// MergeNotice stores a notice if its sequence is higher than the known one. If the sequences are equal, the leaving notice
// wins, because two hosts may change a notice at the same time and a backend server that may be leaving must not get new
// work.
func (t *Table) MergeNotice(n Notice) {
	known, ok := t.notices[n.BackendServer]
	if ok && (n.Sequence < known.Sequence || n.Sequence == known.Sequence && (known.Leaving || !n.Leaving)) {
		return
	}
	t.notices[n.BackendServer] = n
}

// UpdateNotice records a state of a backend server that this host has observed and returns the resulting notice. If the state
// is new or has changed, the notice gets the highest known sequence plus 1. Otherwise the known notice is returned.
func (t *Table) UpdateNotice(backendID string, leaving bool) Notice {
	n, ok := t.notices[backendID]
	if ok && n.Leaving == leaving {
		return n
	}
	n = Notice{BackendServer: backendID, Leaving: leaving, Sequence: n.Sequence + 1}
	t.notices[backendID] = n
	return n
}

// Notices returns the known notices, sorted by backend server.
func (t *Table) Notices() []Notice {
	if len(t.notices) == 0 {
		return nil
	}
	all := make([]Notice, 0, len(t.notices))
	for _, n := range t.notices {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b Notice) int { return strings.Compare(a.BackendServer, b.BackendServer) })
	return all
}

// RetainNotices removes the notices of backend servers that are not in backendIDs, the configured ones.
func (t *Table) RetainNotices(backendIDs []string) {
	keep := make(map[string]bool, len(backendIDs))
	for _, id := range backendIDs {
		keep[id] = true
	}
	for id := range t.notices {
		if !keep[id] {
			delete(t.notices, id)
		}
	}
}
