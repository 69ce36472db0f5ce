package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// OperatorToken and the caller tokens are credentials of deployments on loopback only.
const (
	OperatorToken = "operator-token-for-loopback"
	PayingToken   = "paying-caller-token-for-loopback"
	MemberToken   = "member-caller-token-for-loopback"
)

// Options says what to start.
type Options struct {
	// Dir is for settings, policy and log files.
	Dir string
	// Entry and Standin are the paths of the two programs.
	Entry, Standin string
	// Document is the policy; its addresses, callers and operators are replaced.
	Document *policy.Document
	// StoreRegion is the region that the store stands in.
	StoreRegion string
	// ServiceTime is the mean service time of the backend servers of each service.
	ServiceTime map[string]time.Duration
	// TraceSample is the share of traces to keep.
	TraceSample float64
	// RoundRobin starts the entry hosts without ranks, as the baseline of measurements.
	RoundRobin bool
	// NoDelays leaves out the delays of the links.
	NoDelays bool
}

// Fleet is a running deployment.
type Fleet struct {
	Options  Options
	Document *policy.Document
	Relay    *network.Relay
	Platform *Process
	Hosts    map[string]*Process
	Backends map[string]*Process
	// PlatformURL is the store without the relay, for the switches of the stand-in.
	PlatformURL string

	platform     netip.AddrPort
	real         map[string]netip.AddrPort
	domainOf     map[netip.Addr]string
	stores       map[string]netip.AddrPort
	snapshot     *policy.Snapshot
	mu           sync.Mutex
	cut          func(from, to string) bool
	http         *http.Client
	settingsPath map[string]string
}

// Start starts all processes and waits until each entry host answers its administration API.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		Options:      options,
		Document:     options.Document,
		Hosts:        map[string]*Process{},
		Backends:     map[string]*Process{},
		domainOf:     map[netip.Addr]string{},
		stores:       map[string]netip.AddrPort{},
		settingsPath: map[string]string{},
		http:         &http.Client{Timeout: 5 * time.Second},
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.Options.Dir, 0o755); err != nil {
		return err
	}
	if err := f.prepare(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startRelay(); err != nil {
		return err
	}
	for i := range f.Document.BackendServers {
		if err := f.StartBackend(f.Document.BackendServers[i].ID); err != nil {
			return err
		}
	}
	for i := range f.Document.Hosts {
		if err := f.StartHost(f.Document.Hosts[i].ID); err != nil {
			return err
		}
	}
	return f.wait(ctx, f.answers)
}

// prepare places the processes, replaces credentials and writes the policy file.
func (f *Fleet) prepare() error {
	doc := f.Document
	var err error
	if f.real, err = place(doc); err != nil {
		return err
	}
	doc.Operators = []policy.Operator{{Name: "loopback", Team: "*", TokenSHA256: policy.HashToken(OperatorToken)}}
	doc.Callers = []policy.Caller{
		{ID: "paying", TokenSHA256: policy.HashToken(PayingToken), HighestRank: 0},
		{ID: "member", TokenSHA256: policy.HashToken(MemberToken), HighestRank: 1},
	}
	text, err := policy.Encode(doc)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.PolicyPath(), text, 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(f.TokenPath(), []byte(OperatorToken+"\n"), 0o600); err != nil {
		return err
	}
	copied, err := policy.Decode(text)
	if err != nil {
		return err
	}
	if f.snapshot, err = policy.Compile(copied, 1, ""); err != nil {
		return err
	}
	for i, h := range doc.Hosts {
		f.domainOf[loopback(hostOctet, i)] = h.FailureDomain
	}
	return nil
}

// PolicyPath is the file with the policy that the deployment starts with.
func (f *Fleet) PolicyPath() string { return filepath.Join(f.Options.Dir, "policy.toml") }

// TokenPath is the file with the operator's token.
func (f *Fleet) TokenPath() string { return filepath.Join(f.Options.Dir, "operator.token") }

func (f *Fleet) startPlatform() error {
	var err error
	if f.platform, err = freePort(loopback(relayOctet, 200)); err != nil {
		return err
	}
	f.PlatformURL = "http://" + f.platform.String()
	f.Platform, err = startProcess(f.Options.Dir, "platform", f.Options.Standin, "platform", "-listen", f.platform.String())
	return err
}

// StartBackend starts a backend server of the policy.
func (f *Fleet) StartBackend(id string) error {
	b := f.snapshot.BackendServer(id)
	p, err := startProcess(f.Options.Dir, id, f.Options.Standin, "backend",
		"-id", id, "-listen", b.Address.String(), "-slots", fmt.Sprint(b.Slots),
		"-service-time", f.Options.ServiceTime[b.Service].String())
	if err != nil {
		return err
	}
	f.Backends[id] = p
	return nil
}

// StartHost starts, or starts again, an entry host of the policy.
func (f *Fleet) StartHost(id string) error {
	h := f.snapshot.Host(id)
	if f.settingsPath[id] == "" {
		if err := f.writeSettings(h); err != nil {
			return err
		}
	}
	p, err := startProcess(f.Options.Dir, id, f.Options.Entry, "entry", "-settings", f.settingsPath[id])
	if err != nil {
		return err
	}
	f.Hosts[id] = p
	return f.listHost(id, "live")
}

func (f *Fleet) writeSettings(h *policy.Host) error {
	s := settings.Settings{
		HostID:        h.ID,
		FailureDomain: h.FailureDomain,
		CallerAddress: h.CallerAddress,
		PeerAddress:   f.real[h.ID],
		AdminAddress:  h.AdminAddress,
		Store:         settings.Store{URL: "http://" + f.stores[h.FailureDomain].String(), KeyPrefix: "foxtailtack/", TimeoutMs: 2000},
		Log:           settings.Log{Level: "info", TraceSample: f.Options.TraceSample},
		Limits:        settings.Limits{MaxConnections: 10_000, MaxHeaderBytes: 32 << 10, StopTimeoutMs: 30_000},
		Comparison:    settings.Comparison{RoundRobin: f.Options.RoundRobin},
	}
	for _, other := range f.Document.Hosts {
		if other.ID != h.ID && len(s.Bootstrap) < 3 {
			s.Bootstrap = append(s.Bootstrap, other.PeerAddress)
		}
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(f.Options.Dir, h.ID+".toml")
	f.settingsPath[h.ID] = path
	return os.WriteFile(path, text, 0o644)
}

// wait polls until ready is true for all entry hosts.
func (f *Fleet) wait(ctx context.Context, ready func(id string) bool) error {
	for _, h := range f.Document.Hosts {
		for !ready(h.ID) {
			if p := f.Hosts[h.ID]; !p.Running() {
				return fmt.Errorf("entry host %s ended, see %s: %s", h.ID, p.LogPath, p.lastLines())
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry host %s is not ready: %w", h.ID, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Health is what /healthz of an entry host says.
type Health struct {
	Host          string         `json:"host"`
	State         string         `json:"state"`
	Ready         bool           `json:"ready"`
	ConfigVersion policy.Version `json:"config_version"`
	// Bytes to and from other entry hosts, on connections that this host opened and on those that others opened to it.
	PeerBytesSent         uint64 `json:"peer_bytes_sent"`
	PeerBytesReceived     uint64 `json:"peer_bytes_received"`
	AcceptedBytesSent     uint64 `json:"accepted_bytes_sent"`
	AcceptedBytesReceived uint64 `json:"accepted_bytes_received"`
}

// Sent returns all bytes sent to other entry hosts.
func (h Health) Sent() uint64 { return h.PeerBytesSent + h.AcceptedBytesSent }

// Received returns all bytes received from other entry hosts.
func (h Health) Received() uint64 { return h.PeerBytesReceived + h.AcceptedBytesReceived }

// Health asks an entry host for its state.
func (f *Fleet) Health(id string) (Health, error) {
	var health Health
	response, err := f.http.Get("http://" + f.snapshot.Host(id).AdminAddress.String() + "/healthz")
	if err != nil {
		return health, err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&health)
	return health, err
}

func (f *Fleet) answers(id string) bool {
	_, err := f.Health(id)
	return err == nil
}

// WaitVersion waits until each running entry host has at least the version in force.
func (f *Fleet) WaitVersion(ctx context.Context, version policy.Version) error {
	return f.wait(ctx, func(id string) bool {
		if !f.Hosts[id].Running() {
			return true
		}
		health, err := f.Health(id)
		return err == nil && health.ConfigVersion >= version
	})
}

// WaitReady waits until each running entry host uses its slots.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.wait(ctx, func(id string) bool {
		if !f.Hosts[id].Running() {
			return true
		}
		health, err := f.Health(id)
		return err == nil && health.Ready
	})
}

// CallerAddresses lists the addresses that callers use, or those of one region.
func (f *Fleet) CallerAddresses(region string) []string {
	var addresses []string
	for _, h := range f.Document.Hosts {
		if region == "" || f.snapshot.Region(h.FailureDomain) == region {
			addresses = append(addresses, h.CallerAddress.String())
		}
	}
	return addresses
}

// AdminAddresses lists the addresses of the administration API.
func (f *Fleet) AdminAddresses() []string {
	var addresses []string
	for _, h := range f.Document.Hosts {
		addresses = append(addresses, h.AdminAddress.String())
	}
	return addresses
}

// Snapshot is the compiled policy that the deployment starts with.
func (f *Fleet) Snapshot() *policy.Snapshot { return f.snapshot }

// Stop ends every process.
func (f *Fleet) Stop() {
	for _, p := range f.Hosts {
		p.Kill()
	}
	for _, p := range f.Backends {
		p.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
	if f.Relay != nil {
		f.Relay.Close()
	}
}
