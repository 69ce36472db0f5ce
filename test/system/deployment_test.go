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
	// serviceTime is long enough that a few dozen callers keep every slot busy.
	serviceTime = 40 * time.Millisecond
	// maxRequest bounds requests, and with it the time after which the slots of a dead host are used again.
	maxRequest = 1500 * time.Millisecond
	// patience bounds every wait for a state. It is far longer than any wait takes on an idle machine.
	patience  = 60 * time.Second
	pollEvery = 25 * time.Millisecond
	// dumpTime bounds the writing of some hundred stacks to a file.
	dumpTime = 5 * time.Second
)

// Hosts of the deployment. The first two share a failure domain.
const (
	hostA = "east-1-a"
	hostB = "east-1-b"
	hostC = "east-2-a"
	hostD = "west-1-a"
)

var allHosts = []string{hostA, hostB, hostC, hostD}

// Slots of the backend servers in the failure domain of hostA and hostB.
const (
	slotsPerServer = 4
	eastSlots      = 4 * slotsPerServer
)

// clientBlocks are the blocks of clients by the failure domain that is nearest to them.
var clientBlocks = map[string]netip.Prefix{
	"east-1": netip.MustParsePrefix("10.1.0.0/16"),
	"east-2": netip.MustParsePrefix("10.2.0.0/16"),
	"west-1": netip.MustParsePrefix("10.3.0.0/16"),
}

// document describes 2 regions, 3 failure domains, 4 entry hosts and 8 backend servers. EvidenceMaxAgeMs exceeds the 2 s
// between two fetches of the platform's list, because evidence that expires before the next fetch never counts.
func document() *policy.Document {
	doc := &policy.Document{
		Deployment: "system-test",
		Timing:     policy.Timing{HostListMaxLagMs: 2000, EvidenceMaxAgeMs: 3000, PauseLimitMs: 800, MaxRequestMs: int(maxRequest.Milliseconds())},
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
		Name: service, Team: "orders", LookupTTLMs: 500, MaxRequestMs: int(maxRequest.Milliseconds()), RampMs: 300,
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

// domainOf returns the failure domain in the id of a host.
func domainOf(id string) string { return id[:strings.LastIndex(id, "-")] }

// deployment is a running deployment of one test.
type deployment struct {
	*fleet.Fleet
	t *testing.T
}

// start starts a deployment and waits until version 1 is in force and every host uses its slots.
func start(t *testing.T, doc *policy.Document) *deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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
	t.Cleanup(d.end)
	d.mustOperate("policy", "apply", "-reason", "first policy", "-base", "0", "-file", f.PolicyPath())
	d.waitVersion(1)
	d.check(f.WaitReady(ctx))
	return d
}

// end stops the processes. If the test failed, it shows the log of each entry host with the stacks of its goroutines, since a
// host that stands still logs nothing.
func (d *deployment) end() {
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
		d.t.Log(id, "ended to show its goroutines:", host.Wait(dumpTime))
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

func (d *deployment) check(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// waitFor polls until done is true.
func (d *deployment) waitFor(what string, done func() bool) {
	d.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			d.t.Fatalf("not reached in %s: %s", patience, what)
		}
	}
}

func (d *deployment) waitVersion(version policy.Version) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), patience)
	defer cancel()
	d.check(d.WaitVersion(ctx, version))
}

// hostHealth is what these tests read of /healthz.
type hostHealth struct {
	Incarnation   uint64         `json:"incarnation"`
	State         string         `json:"state"`
	Ready         bool           `json:"ready"`
	ConfigVersion policy.Version `json:"config_version"`
	SlotsUsable   map[string]int `json:"slots_usable"`
}

var healthClient = &http.Client{Timeout: time.Second}

// health asks a host for its state. A host that does not answer gives false.
func (d *deployment) health(id string) (hostHealth, bool) {
	var h hostHealth
	response, err := healthClient.Get("http://" + d.Snapshot().Host(id).AdminAddress.String() + "/healthz")
	if err != nil {
		return h, false
	}
	defer func() { _ = response.Body.Close() }()
	return h, json.NewDecoder(response.Body).Decode(&h) == nil
}

// usable returns the number of slots that a host may use.
func (d *deployment) usable(id string) int {
	h, _ := d.health(id)
	return h.SlotsUsable[service]
}

// waitUsable waits until a host may use a number of slots.
func (d *deployment) waitUsable(id string, slots int) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("%s uses %d slots", id, slots), func() bool { return d.usable(id) == slots })
}

func (d *deployment) waitReady(id string) {
	d.t.Helper()
	d.waitFor(id+" is ready", func() bool {
		h, ok := d.health(id)
		return ok && h.Ready
	})
}

// executions returns how many requests a backend server has begun to run.
func (d *deployment) executions(id string) int {
	stats, err := d.BackendStats(id)
	d.check(err)
	return stats.Executions
}

// waitIdle waits until no backend server runs a request.
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
