package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Gateway are the settings of an entry host on the operators' platform, which deploy/host.toml.tmpl writes.
type Gateway struct {
	// HostID is the name of this host. Required.
	HostID string `toml:"host_id" validate:"required,max=128"`
	// FailureDomain is the failure domain of this host. Required.
	FailureDomain string `toml:"failure_domain" validate:"required,max=128"`
	// Region is the region of this host. Required.
	Region string `toml:"region" validate:"required,max=128"`
	// CallerAddress is the IP address and port to listen on for requests. Required.
	CallerAddress netip.AddrPort `toml:"caller_address" validate:"required"`
	// ReadyAddress is the IP address and port of the platform's readiness check. Required.
	ReadyAddress netip.AddrPort `toml:"ready_address" validate:"required"`
	// LookupAddress is the IP address and port to listen on for look-ups. Required.
	LookupAddress netip.AddrPort `toml:"lookup_address" validate:"required"`
	// PeerAddress is the IP address and port to listen on for other entry hosts. Required.
	PeerAddress netip.AddrPort `toml:"peer_address" validate:"required"`
	// AdminAddress is the IP address and port of metrics and traces. Required.
	AdminAddress netip.AddrPort `toml:"admin_address" validate:"required"`
	// Bootstrap lists peer addresses of entry hosts that can tell the configuration when the store cannot. Default none.
	Bootstrap []netip.AddrPort `toml:"bootstrap"`
	// StoreAddress is the IP address and port of the platform's store. Required.
	StoreAddress netip.AddrPort `toml:"store_address" validate:"required"`
	// FailureDomains maps the failure domains of the deployment to their regions. Required.
	FailureDomains map[string]string `toml:"failure_domains" validate:"required"`
	Bounds         GatewayBounds     `toml:"bounds"`
	// Log says what to log.
	Log Log `toml:"log"`
	// MemoryLimitMB is the memory that the process may use, in megabytes; 0 means that no limit is known.
	MemoryLimitMB int `toml:"memory_limit_mb" validate:"min=0"`
}

// GatewayBounds are the bounds that the platform sets.
type GatewayBounds struct {
	// StopGraceMs is the time from SIGTERM to SIGKILL in milliseconds. Default 6000.
	StopGraceMs int `toml:"stop_grace_ms" validate:"min=1,max=600000"`
	// LookupTTLMs is the longest time to live of a look-up answer in milliseconds. Default 5000.
	LookupTTLMs int `toml:"lookup_ttl_ms" validate:"min=1,max=600000"`
	// StableWindowMs is the time after a disturbance from which the platform's bounds hold again, in milliseconds. Default 3000.
	StableWindowMs int `toml:"stable_window_ms" validate:"min=1500,max=600000"`
	// RetryRatio is the share of a service's requests that may be repeats, over all hosts. Default 0.2.
	RetryRatio float64 `toml:"retry_ratio" validate:"min=0,max=10"`
	// RetrySlack is the number of repeats that are allowed besides, over all hosts. Default 0.
	RetrySlack float64 `toml:"retry_slack" validate:"min=0"`
}

// StopGrace returns the time from SIGTERM to SIGKILL.
func (b GatewayBounds) StopGrace() time.Duration {
	return time.Duration(b.StopGraceMs) * time.Millisecond
}

// LookupTTL returns the longest time to live of a look-up answer.
func (b GatewayBounds) LookupTTL() time.Duration {
	return time.Duration(b.LookupTTLMs) * time.Millisecond
}

// DeadHost returns the longest time for which look-up answers may name a dead host: the platform allows deadHostSlack after its
// stability window.
func (b GatewayBounds) DeadHost() time.Duration {
	return time.Duration(b.StableWindowMs)*time.Millisecond + deadHostSlack
}

const deadHostSlack = 3 * time.Second

// Defaults of optional settings of a gateway.
const (
	defaultStopGraceMs    = 6000
	defaultLookupTTLMs    = 5000
	defaultStableWindowMs = 3000
	defaultRetryRatio     = 0.2
)

// LoadGateway reads and checks a settings file. The error names the file and, where known, line and key.
func LoadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g, err := ParseGateway(text)
	if err != nil {
		return nil, Error.New("%s: %s", path, err)
	}
	return g, nil
}

// ParseGateway reads and checks the settings of a gateway.
func ParseGateway(text []byte) (*Gateway, error) {
	g := &Gateway{
		Bounds: GatewayBounds{StopGraceMs: defaultStopGraceMs, LookupTTLMs: defaultLookupTTLMs, StableWindowMs: defaultStableWindowMs, RetryRatio: defaultRetryRatio},
		Log:    Log{Level: defaultLogLevel, TraceSample: defaultTraceSample},
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(g); err != nil {
		return nil, describe(err)
	}
	return g, g.validate()
}

func (g *Gateway) validate() error {
	if err := validateFields(g); err != nil {
		return err
	}
	for _, address := range []struct {
		key   string
		value netip.AddrPort
	}{
		{"caller_address", g.CallerAddress}, {"ready_address", g.ReadyAddress}, {"lookup_address", g.LookupAddress},
		{"peer_address", g.PeerAddress}, {"admin_address", g.AdminAddress}, {"store_address", g.StoreAddress},
	} {
		if !address.value.IsValid() {
			return fmt.Errorf("key %q: want an IP address and port", address.key)
		}
	}
	if g.FailureDomains[g.FailureDomain] != g.Region {
		return fmt.Errorf("key %q: failure domain %q has region %q, and %q says %q", "failure_domains", g.FailureDomain, g.FailureDomains[g.FailureDomain], "region", g.Region)
	}
	return nil
}
