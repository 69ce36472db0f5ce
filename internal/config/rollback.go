package config

import (
	"context"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Rollback applies the document of an earlier version as a new version. change.Document is ignored. Shifts that are not currently in
// force get a new start, so that their ramp limits the load on cold caches. It returns the errors of Load and Apply.
func (m *Manager) Rollback(ctx context.Context, to policy.Version, change Change) (Accepted, error) {
	doc, err := m.Load(ctx, to)
	if err != nil {
		m.countChange(change, Accepted{}, err)
		return Accepted{}, err
	}
	for i := range doc.Shifts {
		doc.Shifts[i].StartUnixMs = 0
	}
	change.Document = doc
	return m.Apply(ctx, change)
}
