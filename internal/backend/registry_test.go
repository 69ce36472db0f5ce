package backend

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

var epoch = time.Unix(1_700_000_000, 0)

// snapshotOf compiles a policy with one service "s" and the given backend servers of 9 slots in failure domain "d".
func snapshotOf(t rapid.TB, ids, drained []string) *policy.Snapshot {
	t.Helper()
	address := func(port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
	}
	doc := &policy.Document{
		Deployment:     "test",
		Regions:        []policy.Region{{Name: "r"}},
		FailureDomains: []policy.FailureDomain{{Name: "d", Region: "r"}},
		Hosts:          []policy.Host{{ID: "h", FailureDomain: "d", CallerAddress: address(1), PeerAddress: address(2), AdminAddress: address(3)}},
		Services: []policy.Service{{
			Name: "s", Team: "t", RampMs: 8000, Routes: []policy.Route{{PathPrefix: "/"}},
		}},
		DrainedBackendServers: drained,
	}
	for i, id := range ids {
		doc.BackendServers = append(doc.BackendServers, policy.BackendServer{
			ID: id, Service: "s", FailureDomain: "d", Address: address(100 + i), Slots: 9,
		})
	}
	snapshot, err := policy.Compile(doc, 1, "c")
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// registryFixture is a registry with a virtual clock.
type registryFixture struct {
	t        testing.TB
	registry *Registry
	rng      *rand.Rand
	now      time.Time
	// inUse is the number of slots in use by backend server.
	inUse map[string]int
}

func newRegistryFixture(t testing.TB) *registryFixture {
	return &registryFixture{
		t: t, registry: NewRegistry(RegistryOptions{Seed: 1}), rng: rand.New(rand.NewPCG(1, 1)), now: epoch, inUse: map[string]int{},
	}
}

func (s *registryFixture) available() []slots.Availability {
	var list []slots.Availability
	for _, id := range s.registry.sortedIDs() {
		list = append(list, slots.Availability{BackendServer: id, Usable: 9, InUse: s.inUse[id]})
	}
	return list
}

func (s *registryFixture) duration(d *datadriven.TestData, name string) time.Duration {
	if !d.HasArg(name) {
		return 0
	}
	var text string
	d.ScanArgs(s.t, name, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return value
}

func arg(t testing.TB, d *datadriven.TestData, name string) string {
	var text string
	if d.HasArg(name) {
		d.ScanArgs(t, name, &text)
	}
	return text
}

// interval is the interval of a response that arrives now to a request that was sent the argument "sent_ago" ago.
func (s *registryFixture) interval(d *datadriven.TestData) ObservedInterval {
	return ObservedInterval{SentAt: s.now.Add(-s.duration(d, "sent_ago")), ReceivedAt: s.now}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "+")
}

func (s *registryFixture) run(_ *testing.T, d *datadriven.TestData) string {
	id := arg(s.t, d, "id")
	switch d.Cmd {
	case "configure":
		s.registry.Configure(snapshotOf(s.t, splitList(arg(s.t, d, "servers")), splitList(arg(s.t, d, "drained"))), "d", s.now)
	case "advance":
		s.now = s.now.Add(s.duration(d, "by"))
	case "health":
		s.health(d, id)
	case "attempt":
		s.attempt(d, id)
	case "hostlist":
		state := hostlist.State(arg(s.t, d, "state"))
		s.registry.RecordHostList(hostlist.List{Hosts: map[string]hostlist.State{id: state}, FetchedAt: s.interval(d).SentAt}, s.now)
	case "merge":
		sequence, _ := strconv.ParseUint(arg(s.t, d, "sequence"), 10, 64)
		s.registry.MergeNotices([]membership.Notice{{BackendServer: id, Leaving: arg(s.t, d, "leaving") == "true", Sequence: sequence}}, s.now)
	case "use":
		s.inUse[id], _ = strconv.Atoi(arg(s.t, d, "slots"))
	case "pick":
		return s.countPicks(splitList(arg(s.t, d, "exclude")))
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.status()
}

func (s *registryFixture) health(d *datadriven.TestData, id string) {
	h := Health{At: s.interval(d)}
	switch arg(s.t, d, "answer") {
	case "ok":
		h.Reached, h.Healthy = true, true
	case "draining":
		h.Reached, h.Draining = true, true
	case "error":
		h.Reached = true
	}
	s.registry.RecordHealth(id, h)
}

func (s *registryFixture) attempt(d *datadriven.TestData, id string) {
	at := s.interval(d)
	res := Result{StartedAt: at.SentAt, Duration: s.now.Sub(at.SentAt)}
	switch arg(s.t, d, "end") {
	case "completed":
		res.Outcome, res.Status = Completed, 200
	case "draining":
		res.Outcome, res.Status, res.Draining = Completed, 200, true
	case "refused":
		res.Outcome, res.ServerFault = NotRun, true
		res.Failure = result.Fail(result.ConnectFailed, "refused")
	}
	s.registry.RecordAttempt(id, res)
}

// countPicks counts the choices of 100 calls of Pick without taking slots.
func (s *registryFixture) countPicks(exclude []string) string {
	counts := map[string]int{}
	for range 100 {
		if id, ok := s.registry.Pick("s", s.available(), exclude, s.now, s.rng); ok {
			counts[id]++
		}
	}
	return fmt.Sprintln(counts)
}

func (s *registryFixture) status() string {
	var b strings.Builder
	for _, st := range s.registry.Statuses(s.now) {
		state := s.registry.servers[st.ID]
		fmt.Fprintf(&b, "%s allowed=%d", st.ID, state.ramp.allowed(9, s.now))
		for _, flag := range []struct {
			on   bool
			name string
		}{{st.Leaving, "leaving"}, {st.Ejected, "ejected"}, {st.Unhealthy, "unhealthy"}, {st.Ramping, "ramping"}} {
			if flag.on {
				b.WriteString(" " + flag.name)
			}
		}
		if st.Notice != "" {
			fmt.Fprintf(&b, " notice=%s", st.Notice)
		}
		if st.Ejected {
			fmt.Fprintf(&b, " probe_in=%v", state.ejection.probeAfter.Sub(s.now).Round(time.Millisecond))
		}
		b.WriteString("\n")
	}
	for _, n := range s.registry.Notices() {
		fmt.Fprintf(&b, "notice %s leaving=%v sequence=%d\n", n.BackendServer, n.Leaving, n.Sequence)
	}
	return b.String()
}

// TestRegistryRules guards against unintended changes of the rules for notices, ejection and ramp.
func TestRegistryRules(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newRegistryFixture(t)
		datadriven.RunTest(t, path, s.run)
	})
}

// TestLeavingPersistsUntilItsSourceClearsIt guards against new work for a leaving backend server, whatever the order of updates: after
// a notice from a source, the server stays out of use until more recent information from that source clears the notice.
func TestLeavingPersistsUntilItsSourceClearsIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var d drainState
		now := epoch
		leavingSince := [sourceCount]time.Time{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond)
			source := Source(rapid.IntRange(0, int(sourceCount)-1).Draw(rt, "source"))
			leaving := rapid.Bool().Draw(rt, "leaving")
			sentAt := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(rt, "sent_ago")) * time.Millisecond)
			d.recordSource(source, leaving, ObservedInterval{SentAt: sentAt, ReceivedAt: now})
			switch {
			case leaving:
				leavingSince[source] = now
			case sentAt.After(leavingSince[source]):
				leavingSince[source] = time.Time{}
			}
			want := false
			for _, at := range leavingSince {
				want = want || !at.IsZero()
			}
			if d.leaving(now) != want {
				rt.Fatalf("leaving %v, want %v", d.leaving(now), want)
			}
		}
	})
}

// TestPickChoosesOnlyUsableServers guards against a choice that violates the free slots, the ramp, the exclusions or the state of a
// server.
func TestPickChoosesOnlyUsableServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newRegistryFixture(t)
		s.registry.Configure(snapshotOf(t, []string{"a", "b", "c"}, nil), "d", s.now)
		s.registry.Configure(snapshotOf(t, []string{"a", "b", "c", "e"}, []string{"c"}), "d", s.now)
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond)
		available := s.available()
		for i := range available {
			available[i].Usable = rapid.IntRange(0, 9).Draw(rt, "usable")
			available[i].InUse = rapid.IntRange(0, 9).Draw(rt, "in use")
		}
		exclude := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(rt, "exclude")
		id, ok := s.registry.Pick("s", available, exclude, s.now, s.rng)
		possible := false
		for _, a := range available {
			free := a.InUse < s.registry.servers[a.BackendServer].ramp.allowed(a.Usable, s.now)
			usable := free && a.BackendServer != "c" && !strings.Contains(strings.Join(exclude, ""), a.BackendServer)
			possible = possible || usable
			if ok && a.BackendServer == id && !usable {
				rt.Fatalf("picked %s: %+v, excluded %v", id, a, exclude)
			}
		}
		if ok != possible {
			rt.Fatalf("picked %v, possible %v", ok, possible)
		}
	})
}

// TestReportedLoadOnlyBreaksTies guards against load reports that override this host's own counts.
func TestReportedLoadOnlyBreaksTies(t *testing.T) {
	s := newRegistryFixture(t)
	s.registry.Configure(snapshotOf(t, []string{"a", "b"}, nil), "d", s.now)
	pick := func() string { return strings.TrimSpace(s.countPicks(nil)) }
	s.registry.RecordLoad("a", LoadReport{InUse: 8, Slots: 9}, s.now)
	s.registry.RecordLoad("b", LoadReport{InUse: 0, Slots: 9}, s.now)
	if got := pick(); got != "map[b:100]" {
		t.Errorf("the lower report did not win a tie: %s", got)
	}
	s.inUse["b"] = 1
	if got := pick(); got != "map[a:100]" {
		t.Errorf("a report overrode the own counts: %s", got)
	}
	s.inUse["a"] = 1
	if got := pick(); got == "map[b:100]" {
		t.Errorf("a report below the own count was used: %s", got)
	}
	s.inUse = map[string]int{}
	s.now = s.now.Add(loadMaxAge + time.Second)
	if got := pick(); got == "map[b:100]" {
		t.Errorf("a stale report was used: %s", got)
	}
}

// TestStaleHealthResultIsIgnored guards against a slow poll that replaces the result of a later poll, and against a slow poll whose
// drain notice is lost.
func TestStaleHealthResultIsIgnored(t *testing.T) {
	s := newRegistryFixture(t)
	s.registry.Configure(snapshotOf(t, []string{"a"}, nil), "d", s.now)
	at := func(sent int) ObservedInterval {
		return ObservedInterval{SentAt: s.now.Add(time.Duration(sent) * time.Second), ReceivedAt: s.now.Add(5 * time.Second)}
	}
	s.registry.RecordHealth("a", Health{Reached: true, Healthy: true, At: at(2)})
	s.registry.RecordHealth("a", Health{Reached: true, At: at(1)})
	if st := s.registry.Statuses(s.now)[0]; st.Unhealthy || st.Leaving {
		t.Errorf("a stale result replaced a current one: %+v", st)
	}
	s.registry.RecordHealth("a", Health{Reached: true, Draining: true, At: at(1)})
	if st := s.registry.Statuses(s.now)[0]; !st.Leaving {
		t.Errorf("a drain notice was lost: %+v", st)
	}
}
