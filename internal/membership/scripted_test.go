package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// scriptedDomain is a failure domain driven by the commands of a testdata file.
type scriptedDomain struct {
	now     time.Time
	ids     []string
	tables  map[string]*membership.Table
	remote  *membership.Table
	delayed map[string]membership.Heartbeat
}

// TestScriptedFailureDomain guards against unnoticed changes of the behaviour that an operator sees: crash, restart, delegates
// and summaries.
func TestScriptedFailureDomain(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scriptedDomain{now: epoch, tables: map[string]*membership.Table{}, delayed: map[string]membership.Heartbeat{}}
		s.remote = membership.New(membership.Member{ID: "z", Incarnation: 1}, "south-1")
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *scriptedDomain) run(t *testing.T, d *datadriven.TestData) string {
	var host, to string
	d.MaybeScanArgs(t, "host", &host)
	d.MaybeScanArgs(t, "to", &to)
	switch d.Cmd {
	case "hosts":
		s.ids = strings.Fields(d.Input)
		s.tables = newTables(s.ids, 1)
	case "wait":
		ms := 0
		d.ScanArgs(t, "ms", &ms)
		s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
	case "heartbeat":
		s.tables[to].MergeHeartbeat(s.tables[host].Heartbeat(s.now), s.now)
	case "delay-heartbeat":
		s.delayed[host] = s.tables[host].Heartbeat(s.now)
		return ""
	case "deliver-delayed":
		s.tables[to].MergeHeartbeat(s.delayed[host], s.now)
	case "restart":
		inc := 0
		d.ScanArgs(t, "incarnation", &inc)
		s.tables[host] = newTable(host, s.ids, membership.Incarnation(inc))
	case "leaving":
		s.tables[host].SetSelf(membership.Leaving, 0, nil)
	case "summary":
		sum := s.tables[host].Summary(s.now)
		return fmt.Sprintf("newer=%v\n%s", s.remote.MergeSummary(sum, s.now), formatMembers(sum.Members))
	case "remote":
		return fmt.Sprintf("summaries=%d\n", len(s.remote.RemoteSummaries(s.now)))
	case "show":
		table := s.tables[host]
		return fmt.Sprintf("%sdelegates=%v\n", formatMembers(table.Members(s.now)), table.Delegates(s.now))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func formatMembers(all []membership.Member) string {
	var b strings.Builder
	states := [...]string{"joining", "serving", "leaving"}
	for _, m := range all {
		fmt.Fprintf(&b, "%s incarnation=%d counter=%d %s\n", m.ID, m.Incarnation, m.Counter, states[m.State])
	}
	return b.String()
}
