package system

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

const (
	service = "orders"
	// serviceTime is the execution time of a request. It is long enough that a few dozen callers keep every slot in use.
	serviceTime = 40 * time.Millisecond
	// maxRequestTime is the maximum duration of a request. It also bounds the time until peers use the slots of a crashed host.
	maxRequestTime = 1500 * time.Millisecond
	// waitTimeout bounds every wait for a state. It is far longer than any of these waits takes on an idle machine.
	waitTimeout  = 60 * time.Second
	pollInterval = 25 * time.Millisecond
	// dumpTimeout bounds the time in which a process writes several hundred goroutine stacks to a file.
	dumpTimeout = 5 * time.Second
)

// IDs of the entry hosts. hostA and hostB share a failure domain.
const (
	hostA = "east-1-a"
	hostB = "east-1-b"
	hostC = "east-2-a"
	hostD = "west-1-a"
)

var allHosts = []string{hostA, hostB, hostC, hostD}

// Slots of one backend server, and of all four in the failure domain of hostA and hostB.
const (
	slotsPerServer = 4
	eastSlots      = 4 * slotsPerServer
)

// clientBlocks are the client address blocks by nearest failure domain.
var clientBlocks = map[string]netip.Prefix{
	"east-1": netip.MustParsePrefix("10.1.0.0/16"),
	"east-2": netip.MustParsePrefix("10.2.0.0/16"),
	"west-1": netip.MustParsePrefix("10.3.0.0/16"),
}

// newPolicyDocument returns a policy with 2 regions, 3 failure domains, 4 entry hosts and 8 backend servers. EvidenceMaxAgeMs
// exceeds the interval of 2 s between fetches of the platform's host list, because evidence that expires before the next fetch is
// never used.
func newPolicyDocument() *policy.Document {
	doc := &policy.Document{
		Deployment: "system-test",
		Timing:     policy.Timing{HostListMaxLagMs: 2000, EvidenceMaxAgeMs: 3000, PauseLimitMs: 800, MaxRequestMs: int(maxRequestTime.Milliseconds())},
		Regions:    []policy.Region{{Name: "east"}, {Name: "west"}},
		FailureDomains: []policy.FailureDomain{
			{Name: "east-1", Region: "east"}, {Name: "east-2", Region: "east"}, {Name: "west-1", Region: "west"},
		},
		Distances: []policy.Distance{{A: "east", B: "east", OneWayMs: 1}, {A: "east", B: "west", OneWayMs: 5}},
	}
	for domain, prefix := range clientBlocks {
		doc.Blocks = append(doc.Blocks, policy.Block{Prefix: prefix, Sites: []string{domain}})
	}
	for _, id := range allHosts {
		doc.Hosts = append(doc.Hosts, policy.Host{ID: id, FailureDomain: domainOf(id)})
	}
	doc.Services = []policy.Service{{
		Name: service, Team: "orders", LookupTTLMs: 500, MaxRequestMs: int(maxRequestTime.Milliseconds()), RampMs: 300,
		Routes: []policy.Route{
			{Method: http.MethodPost, PathPrefix: "/pay", Rank: rank.Urgent},
			{Method: http.MethodGet, PathPrefix: "/find", Rank: rank.Interactive, Repeatable: true},
		},
	}}
	for domain, count := range map[string]int{"east-1": 4, "east-2": 2, "west-1": 2} {
		for i := range count {
			id := fmt.Sprintf("%s-server-%d", domain, i+1)
			doc.BackendServers = append(doc.BackendServers, policy.BackendServer{ID: id, Service: service, FailureDomain: domain, Slots: slotsPerServer})
		}
	}
	return doc
}

// domainOf returns the failure domain of a host, which is the prefix of its id.
func domainOf(id string) string { return id[:strings.LastIndex(id, "-")] }

// deployment is the running deployment of one test.
type deployment struct {
	*fleet.Fleet
	t *testing.T
}

// startDeployment starts a deployment, applies doc as version 1 and waits until it is in force and every host uses
// its slots.
func startDeployment(t *testing.T, doc *policy.Document) *deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	policy.FillDefaults(doc)
	f, err := fleet.Start(ctx, fleet.Options{
		Dir: t.TempDir(), Entry: entryBinary, Standin: standinBinary, Document: doc, StoreRegion: "east",
		ServiceTime: map[string]time.Duration{service: serviceTime},
	})
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{Fleet: f, t: t}
	t.Cleanup(d.cleanUp)
	d.mustRunCommand("policy", "apply", "-reason", "first policy", "-base", "0", "-file", f.PolicyPath())
	d.waitVersion(1)
	d.requireNoError(f.WaitReady(ctx))
	return d
}

// cleanUp stops all processes. If the test failed, it first makes each running entry host dump its goroutine stacks, since a
// blocked host logs nothing, and prints the hosts' logs.
func (d *deployment) cleanUp() {
	if !d.t.Failed() {
		d.Stop()
		return
	}
	for id, host := range d.Hosts {
		if !host.Running() {
			continue
		}
		if err := host.Dump(); err != nil {
			d.t.Log(id, err)
		}
		d.t.Log(id, "stopped to dump its goroutine stacks:", host.Wait(dumpTimeout))
	}
	d.Stop()
	for _, id := range allHosts {
		text, _ := os.ReadFile(filepath.Join(d.Options.Dir, id+".log"))
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, "level=debug") && !strings.Contains(line, "trace=") {
				d.t.Log(id, strings.TrimSpace(line))
			}
		}
	}
}

func (d *deployment) requireNoError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// waitFor polls until done returns true, and fails the test after waitTimeout.
func (d *deployment) waitFor(what string, done func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			d.t.Fatalf("timed out after %s: %s", waitTimeout, what)
		}
	}
}

func (d *deployment) waitVersion(version policy.Version) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	d.requireNoError(d.WaitVersion(ctx, version))
}

// hostHealth holds the fields of the /healthz response that these tests use.
type hostHealth struct {
	Incarnation   uint64         `json:"incarnation"`
	State         string         `json:"state"`
	Ready         bool           `json:"ready"`
	ConfigVersion policy.Version `json:"config_version"`
	SlotsUsable   map[string]int `json:"slots_usable"`
}

var healthClient = &http.Client{Timeout: time.Second}

// health queries the /healthz endpoint of a host. It returns false if the host does not send a valid response.
func (d *deployment) health(id string) (hostHealth, bool) {
	var h hostHealth
	response, err := healthClient.Get("http://" + d.Snapshot().Host(id).AdminAddress.String() + "/healthz")
	if err != nil {
		return h, false
	}
	defer func() { _ = response.Body.Close() }()
	return h, json.NewDecoder(response.Body).Decode(&h) == nil
}

// usableSlots returns the number of slots that a host may use, or 0 if the host does not respond.
func (d *deployment) usableSlots(id string) int {
	h, _ := d.health(id)
	return h.SlotsUsable[service]
}

// waitUsableSlots waits until a host may use exactly the given number of slots.
func (d *deployment) waitUsableSlots(id string, slots int) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("%s may use %d slots", id, slots), func() bool { return d.usableSlots(id) == slots })
}

func (d *deployment) waitReady(id string) {
	d.t.Helper()
	d.waitFor(id+" is ready", func() bool {
		h, ok := d.health(id)
		return ok && h.Ready
	})
}

// executions returns the number of requests that a backend server has started to execute.
func (d *deployment) executions(id string) int {
	stats, err := d.BackendStats(id)
	d.requireNoError(err)
	return stats.Executions
}

// waitIdle waits until no backend server is executing a request.
func (d *deployment) waitIdle() {
	d.t.Helper()
	d.waitFor("backend servers are idle", func() bool {
		for id := range d.Backends {
			if stats, err := d.BackendStats(id); err != nil || stats.InUse > 0 {
				return false
			}
		}
		return true
	})
}
