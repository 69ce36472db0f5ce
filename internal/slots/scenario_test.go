package slots_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

var (
	epoch = time.Unix(1_000_000, 0)
	// testOptions are the default options of docs/design.md with requests of at most 10 s.
	testOptions = slots.Options{
		HostListMaxLag: 10 * time.Second,
		EvidenceMaxAge: 5 * time.Second,
		MaxRequest:     10 * time.Second,
		PauseLimit:     time.Second,
	}
)

// scenario is one failure domain that is driven by the commands of a file in testdata.
type scenario struct {
	now             time.Time
	hosts           []string
	backends        []slots.Backend
	trackers        map[string]*slots.Tracker
	incarnations    map[string]membership.Incarnation
	lastIncarnation membership.Incarnation
}

// TestScenarios guards against unnoticed changes of the behaviour that operators see: crash, confirmation of a gone host,
// restart and join.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{now: epoch, trackers: map[string]*slots.Tracker{}, incarnations: map[string]membership.Incarnation{}}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	var host, to string
	d.MaybeScanArgs(t, "host", &host)
	d.MaybeScanArgs(t, "to", &to)
	switch d.Cmd {
	case "config":
		s.configure(t, d)
	case "start":
		s.lastIncarnation++
		s.incarnations[host] = s.lastIncarnation
		s.trackers[host] = slots.New(host, s.lastIncarnation, s.now, testOptions)
		s.trackers[host].SetConfig(s.hosts, s.backends, s.now)
	case "crash":
		delete(s.trackers, host)
	case "wait":
		seconds := 0
		d.ScanArgs(t, "s", &seconds)
		for range 4 * seconds {
			s.now = s.now.Add(250 * time.Millisecond)
			s.tick()
		}
	case "pause":
		seconds := 0
		d.ScanArgs(t, "s", &seconds)
		s.now = s.now.Add(time.Duration(seconds) * time.Second)
	case "rejoin":
		s.lastIncarnation++
		s.incarnations[host] = s.lastIncarnation
		s.trackers[host].Rejoin(s.lastIncarnation, s.now)
	case "heartbeat":
		s.trackers[to].RecordMessage(host, s.incarnations[host], s.now)
	case "list":
		s.list(strings.Fields(d.Input))
	case "join":
		reply := s.trackers[to].HandleJoin(slots.JoinRequest{From: host, Incarnation: s.incarnations[host]}, s.now)
		s.trackers[host].HandleJoinReply(to, reply, s.now)
		return fmt.Sprintf("acknowledged=%v predecessor-gone=%v\n", reply.Acknowledged, reply.PredecessorGone)
	case "depart":
		departed := s.trackers[host].TryDepart(s.now)
		ticket := s.trackers[to].IssueTicket(host, s.now)
		accepted := departed && s.trackers[to].Goodbye(host, s.incarnations[host], ticket, s.now)
		return fmt.Sprintf("departed=%v accepted=%v\n", departed, accepted)
	case "take":
		server := ""
		d.ScanArgs(t, "server", &server)
		id, ok := s.trackers[host].Take(server, s.now)
		return fmt.Sprintf("%v index=%d\n", ok, id.Index)
	case "release":
		var server string
		var index int
		d.ScanArgs(t, "server", &server)
		d.ScanArgs(t, "index", &index)
		s.trackers[host].Release(slots.ID{BackendServer: server, Index: index}, s.now, 0)
	case "show":
		return s.show()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (s *scenario) configure(t *testing.T, d *datadriven.TestData) {
	s.backends = nil
	for _, line := range strings.Split(d.Input, "\n") {
		var b slots.Backend
		if hosts, ok := strings.CutPrefix(line, "hosts "); ok {
			s.hosts = strings.Fields(hosts)
			continue
		}
		if _, err := fmt.Sscanf(line, "server %s %s %d", &b.ID, &b.Service, &b.Slots); err != nil {
			t.Fatal(err)
		}
		s.backends = append(s.backends, b)
	}
	for _, tracker := range s.trackers {
		tracker.SetConfig(s.hosts, s.backends, s.now)
	}
}

func (s *scenario) tick() {
	for _, tracker := range s.trackers {
		tracker.Tick(s.now)
	}
}

func (s *scenario) list(ids []string) {
	list := hostlist.List{Hosts: map[string]hostlist.State{}, FetchedAt: s.now}
	for _, id := range ids {
		list.Hosts[id] = hostlist.Live
	}
	for _, tracker := range s.trackers {
		tracker.ObserveList(list, s.now)
	}
}

func (s *scenario) show() string {
	var b strings.Builder
	fmt.Fprintf(&b, "at %v\n", s.now.Sub(epoch))
	for _, id := range s.hosts {
		tracker := s.trackers[id]
		if tracker == nil {
			fmt.Fprintf(&b, "%s: down\n", id)
			continue
		}
		fmt.Fprintf(&b, "%s: ready=%v paused=%v gone=%v join-targets=%v\n", id, tracker.Ready(s.now), tracker.Paused(s.now),
			tracker.Gone(s.now), tracker.JoinTargets(s.now))
		for _, a := range tracker.Availability("catalogue", s.now) {
			fmt.Fprintf(&b, "   %s usable=%d in-use=%d\n", a.BackendServer, a.Usable, a.InUse)
		}
	}
	return b.String()
}
