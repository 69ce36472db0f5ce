package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// session runs the commands of a golden file on the processes "a" and "b", which share a store.
type session struct {
	t        *testing.T
	store    *fakeStore
	managers map[string]*Manager
	// clock advances by one second for each command.
	clock time.Time
}

// The golden file contains the results that operators receive for apply, conflicts, lost responses, rollback and history. It guards
// against unintended changes of these results.
func TestSession(t *testing.T) {
	s := &session{t: t, store: newFakeStore(), managers: map[string]*Manager{}, clock: time.UnixMilli(1_700_000_000_000)}
	for _, name := range []string{"a", "b"} {
		s.managers[name] = newTestManager(s.store, nil)
		s.managers[name].now = func() time.Time { return s.clock }
	}
	datadriven.RunTest(t, "testdata/session.txt", func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
}

func (s *session) run(d *datadriven.TestData) string {
	ctx := context.Background()
	s.clock = s.clock.Add(time.Second)
	m := s.managers[s.text(d, "on")]
	s.store.setFaults(s.faults(d, "faults"), s.faults(d, "head-faults"))
	defer s.store.setFaults(nil, nil)
	switch d.Cmd {
	case "apply":
		change := s.change(d)
		change.Document = testDocument(s.t, s.number(d, "hedge"), s.number(d, "blocks"), d.Input)
		return describe(m.Apply(ctx, change))
	case "rollback":
		return describe(m.Rollback(ctx, policy.Version(s.number(d, "to")), s.change(d)))
	case "poll":
		return fmt.Sprintf("error: %v\n", m.pollOnce(ctx)) + show(m)
	case "show":
		return show(m)
	case "history":
		return s.history(m)
	case "keys":
		return s.keys()
	default:
		return "unknown command"
	}
}

func (s *session) change(d *datadriven.TestData) Change {
	return Change{ID: s.text(d, "id"), Operator: "olga", Reason: d.Cmd, Base: policy.Version(s.number(d, "base"))}
}

func (s *session) text(d *datadriven.TestData, key string) (value string) {
	d.MaybeScanArgs(s.t, key, &value)
	return value
}

func (s *session) number(d *datadriven.TestData, key string) (value int) {
	d.MaybeScanArgs(s.t, key, &value)
	return value
}

func (s *session) faults(d *datadriven.TestData, key string) (faults []fault) {
	for _, name := range strings.Split(s.text(d, key), "+") {
		if name != "" {
			faults = append(faults, fault(name))
		}
	}
	return faults
}

// describe returns the result of Apply or Rollback as text.
func describe(accepted Accepted, err error) string {
	if err != nil {
		return result.FromError(err).Error() + "\n"
	}
	return fmt.Sprintf("version %d, change %s, already accepted: %v\n", accepted.Version, accepted.ChangeID, accepted.AlreadyAccepted)
}

// show returns the configuration in force as text.
func show(m *Manager) string {
	snapshot := m.Snapshot()
	if snapshot == nil {
		return "no configuration\n"
	}
	text := fmt.Sprintf("version %d, hedge %d ms, %d blocks\n", snapshot.Version,
		snapshot.Service("catalogue").HedgeAfterMs, len(snapshot.Document.Blocks))
	for _, shift := range snapshot.Document.Shifts {
		text += fmt.Sprintf("shift %s starts at %d\n", shift.ID, shift.StartUnixMs)
	}
	return text
}

func (s *session) history(m *Manager) string {
	heads, err := m.History(context.Background(), 10)
	if err != nil {
		return err.Error() + "\n"
	}
	var lines strings.Builder
	for _, head := range heads {
		fmt.Fprintf(&lines, "%d %s by %s: %s, parts: %d\n", head.Version, head.ChangeID, head.Operator, head.Reason, len(head.Parts))
	}
	return lines.String()
}

// keys returns the number of keys in the store by kind.
func (s *session) keys() string {
	kinds := map[string]int{}
	for key := range s.store.values {
		kind, _, _ := strings.Cut(key, "/")
		kinds[kind]++
	}
	return fmt.Sprintf("head: %d, parts: %d, versions: %d\n", kinds["head"], kinds["part"], kinds["version"])
}
