package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Gateway holds the settings of an entry host on the operators' platform. The file is generated from deploy/host.toml.tmpl.
type Gateway struct {
	// HostID is the name of this host. Required.
	HostID string `toml:"host_id" validate:"required,max=128"`
	// FailureDomain is the failure domain of this host. Required.
	FailureDomain string `toml:"failure_domain" validate:"required,max=128"`
	// Region is the region of this host. Required.
	Region string `toml:"region" validate:"required,max=128"`
	// CallerAddress is the IP address and port to listen on for requests. Required.
	CallerAddress netip.AddrPort `toml:"caller_address" validate:"required"`
	// ReadyAddress is the IP address and port to listen on for the platform's readiness check. Required.
	ReadyAddress netip.AddrPort `toml:"ready_address" validate:"required"`
	// LookupAddress is the IP address and port to listen on for look-ups. Required.
	LookupAddress netip.AddrPort `toml:"lookup_address" validate:"required"`
	// PeerAddress is the IP address and port to listen on for other entry hosts. Required.
	PeerAddress netip.AddrPort `toml:"peer_address" validate:"required"`
	// AdminAddress is the IP address and port to listen on for metrics and traces. Required.
	AdminAddress netip.AddrPort `toml:"admin_address" validate:"required"`
	// Bootstrap lists peer addresses of entry hosts that provide the configuration when the store cannot. Default none.
	Bootstrap []netip.AddrPort `toml:"bootstrap"`
	// StoreAddress is the IP address and port of the platform's store. Required.
	StoreAddress netip.AddrPort `toml:"store_address" validate:"required"`
	// FailureDomains maps the failure domains of the deployment to their regions. Required.
	FailureDomains map[string]string `toml:"failure_domains" validate:"required"`
	// Bounds holds the bounds that the platform sets.
	Bounds GatewayBounds `toml:"bounds"`
	// Log configures logging and trace sampling.
	Log Log `toml:"log"`
	// MemoryLimitMB is the memory that the process may use, in megabytes; 0 if no limit is known.
	MemoryLimitMB int `toml:"memory_limit_mb" validate:"min=0"`
	// OperatorTokensFile names a file with the SHA-256 hashes of the tokens of operators who may query this host, one a line in
	// hexadecimal. Default none: the host then has no such queries.
	OperatorTokensFile string `toml:"operator_tokens_file"`
	// OperatorTokenHashes holds the hashes of OperatorTokensFile. LoadGateway sets it.
	OperatorTokenHashes []string `toml:"-"`
}

// GatewayBounds are the bounds that the platform sets.
type GatewayBounds struct {
	// StopGraceMs is the time from SIGTERM to SIGKILL in milliseconds. Default 6000.
	StopGraceMs int `toml:"stop_grace_ms" validate:"min=1,max=600000"`
	// LookupTTLMs is the maximum time to live of a look-up response in milliseconds. Default 5000.
	LookupTTLMs int `toml:"lookup_ttl_ms" validate:"min=1,max=600000"`
	// StableWindowMs is the time after a disturbance in milliseconds during which the platform's bounds need not hold. Default 3000.
	StableWindowMs int `toml:"stable_window_ms" validate:"min=1500,max=600000"`
	// ConfigurationMs, DrainMs and EvacuationMs are the times in milliseconds within which a configuration, the drain or end of a
	// backend server and an evacuation have to be in force. Default 2000 each.
	ConfigurationMs int `toml:"configuration_ms" validate:"min=1,max=600000"`
	DrainMs         int `toml:"drain_ms" validate:"min=1,max=600000"`
	EvacuationMs    int `toml:"evacuation_ms" validate:"min=1,max=600000"`
	// ServerHeartbeatMs is the interval between two heartbeats of a backend server in milliseconds. Default 1500.
	ServerHeartbeatMs int `toml:"server_heartbeat_ms" validate:"min=1,max=600000"`
	// RetryRatio is the maximum ratio of retries to requests of a service, over all hosts. Default 0.2.
	RetryRatio float64 `toml:"retry_ratio" validate:"min=0,max=10"`
	// RetrySlack is the number of retries that are allowed in addition to RetryRatio, over all hosts. Default 0.
	RetrySlack float64 `toml:"retry_slack" validate:"min=0"`
}

// StopGrace returns the time from SIGTERM to SIGKILL.
func (b GatewayBounds) StopGrace() time.Duration {
	return time.Duration(b.StopGraceMs) * time.Millisecond
}

// ServerHeartbeat returns the interval between two heartbeats of a backend server.
func (b GatewayBounds) ServerHeartbeat() time.Duration {
	return time.Duration(b.ServerHeartbeatMs) * time.Millisecond
}

// LookupTTL returns the maximum time to live of a look-up response.
func (b GatewayBounds) LookupTTL() time.Duration {
	return time.Duration(b.LookupTTLMs) * time.Millisecond
}

// DeadHostListingLimit returns the maximum time for which look-up responses may list a dead host: the platform's stability window
// plus deadHostListingSlack.
func (b GatewayBounds) DeadHostListingLimit() time.Duration {
	return time.Duration(b.StableWindowMs)*time.Millisecond + deadHostListingSlack
}

// Change returns the time within which every change in the store has to be in force.
func (b GatewayBounds) Change() time.Duration {
	return time.Duration(min(b.ConfigurationMs, b.DrainMs, b.EvacuationMs)) * time.Millisecond
}

// deadHostListingSlack is the time that the platform allows after its stability window.
const deadHostListingSlack = 3 * time.Second

// Defaults of optional settings of a gateway.
const (
	defaultStopGraceMs    = 6000
	defaultLookupTTLMs    = 5000
	defaultStableWindowMs = 3000
	defaultChangeBoundMs  = 2000
	defaultHeartbeatMs    = 1500
	defaultRetryRatio     = 0.2
)

// LoadGateway reads and validates a settings file. The error names the file and, if known, the line and the key.
func LoadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g, err := ParseGateway(text)
	if err != nil {
		return nil, Error.New("%s: %s", path, err)
	}
	if g.OperatorTokensFile != "" {
		if g.OperatorTokenHashes, err = readTokenHashes(g.OperatorTokensFile); err != nil {
			return nil, Error.New("%s: key %q: %v", path, "operator_tokens_file", err)
		}
	}
	return g, nil
}

// readTokenHashes reads the hashes of tokens from a file. Empty lines and lines that start with # are comments. A file without a hash is an
// error, since nobody could query the host. Errors quote no line, since a line may hold a token instead of its hash.
func readTokenHashes(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var hashes []string
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		hash := strings.ToLower(strings.TrimSpace(line))
		if hash == "" || strings.HasPrefix(hash, "#") {
			continue
		}
		if sum, err := hex.DecodeString(hash); err != nil || len(sum) != sha256.Size {
			return nil, fmt.Errorf("%s: line %d is not a SHA-256 hash in hexadecimal", path, number)
		}
		hashes = append(hashes, hash)
	}
	if len(hashes) == 0 {
		return nil, fmt.Errorf("%s has no hash of a token", path)
	}
	return hashes, nil
}

// ParseGateway decodes and validates the settings of a gateway.
func ParseGateway(text []byte) (*Gateway, error) {
	g := &Gateway{
		Bounds: GatewayBounds{
			StopGraceMs: defaultStopGraceMs, LookupTTLMs: defaultLookupTTLMs, StableWindowMs: defaultStableWindowMs, RetryRatio: defaultRetryRatio,
			ConfigurationMs: defaultChangeBoundMs, DrainMs: defaultChangeBoundMs, EvacuationMs: defaultChangeBoundMs, ServerHeartbeatMs: defaultHeartbeatMs,
		},
		Log: Log{Level: defaultLogLevel, TraceSample: defaultTraceSample},
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(g); err != nil {
		return nil, describeDecodeError(err)
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
		return fmt.Errorf("key %q: failure domain %q has region %q, but key %q is %q", "failure_domains", g.FailureDomain, g.FailureDomains[g.FailureDomain], "region", g.Region)
	}
	return nil
}
