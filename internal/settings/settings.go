// Package settings holds the static settings of one entry process. Configuration that operators change at run time is in
// package policy.
package settings

import (
	"net/netip"
	"net/url"
	"time"
)

// Settings holds the settings of a process, read once from a TOML file when the process starts.
type Settings struct {
	// HostID is the ID of this entry host in the policy. Required.
	HostID string `toml:"host_id" validate:"required,max=64"`
	// FailureDomain is the failure domain of this entry host. Required.
	FailureDomain string `toml:"failure_domain" validate:"required,max=64"`
	// CallerAddress is the IP address and port to listen on for callers. Required.
	CallerAddress netip.AddrPort `toml:"caller_address" validate:"required"`
	// PeerAddress is the IP address and port to listen on for other entry hosts. Required.
	PeerAddress netip.AddrPort `toml:"peer_address" validate:"required"`
	// AdminAddress is the IP address and port to listen on for operators and metrics. Required.
	AdminAddress netip.AddrPort `toml:"admin_address" validate:"required"`
	// Store configures access to the platform's key-value service and host list.
	Store Store `toml:"store"`
	// Bootstrap lists peer addresses of entry hosts that provide the configuration when the store cannot. Default none.
	Bootstrap []netip.AddrPort `toml:"bootstrap"`
	// Log configures logging and trace sampling.
	Log Log `toml:"log"`
	// Limits bounds the resource use of one process.
	Limits Limits `toml:"limits"`
	// Comparison holds switches for measurements. They must not be set in production.
	Comparison Comparison `toml:"comparison"`
}

// Store configures access to the platform.
type Store struct {
	// URL is the HTTP base URL with an IP address, for example http://192.0.2.10:8500. Required.
	URL string `toml:"url" validate:"required"`
	// KeyPrefix is prepended to each key. Default "foxtailtack/".
	KeyPrefix string `toml:"key_prefix"`
	// TimeoutMs is the timeout of a call other than a watch, in milliseconds. Default 2000.
	TimeoutMs int `toml:"timeout_ms" validate:"min=1,max=60000"`
}

// Log configures logging and trace sampling.
type Log struct {
	// Level is the minimum log level: debug, info, warn or error. Default "info".
	Level string `toml:"level" validate:"omitempty,oneof=debug info warn error"`
	// TraceSample is the fraction (0 to 1) of requests whose trace is kept for /traces. Default 0.01.
	TraceSample float64 `toml:"trace_sample" validate:"min=0,max=1"`
}

// Limits bounds the resource use of one process.
type Limits struct {
	// MaxConnections is the maximum number of caller connections. Default 10000.
	MaxConnections int `toml:"max_connections" validate:"min=1,max=1000000"`
	// MaxHeaderBytes is the maximum size of a request header in bytes. Default 32768.
	MaxHeaderBytes int `toml:"max_header_bytes" validate:"min=1,max=1048576"`
	// StopTimeoutMs is the timeout of a graceful shutdown in milliseconds. Default 30000.
	StopTimeoutMs int `toml:"stop_timeout_ms" validate:"min=1,max=600000"`
	// MaxBodyMemoryMB is the memory that response bodies may take while they are read, in megabytes, over all requests. Default 256.
	MaxBodyMemoryMB int `toml:"max_body_memory_mb,omitempty" validate:"min=0,max=1048576"`
}

// Comparison holds switches that disable mechanisms, so that measurements can be compared with a baseline.
type Comparison struct {
	// RoundRobin ignores ranks and distributes requests over backend servers round-robin. Default false.
	RoundRobin bool `toml:"round_robin"`
}

// Timeout returns the timeout of a store call other than a watch.
func (s Store) Timeout() time.Duration { return time.Duration(s.TimeoutMs) * time.Millisecond }

// StopTimeout returns the timeout of a graceful shutdown.
func (l Limits) StopTimeout() time.Duration { return time.Duration(l.StopTimeoutMs) * time.Millisecond }

// BodyMemory returns the memory that response bodies may take while they are read, in bytes.
func (l Limits) BodyMemory() int64 {
	if l.MaxBodyMemoryMB == 0 {
		return defaultMaxBodyMemoryMB << 20
	}
	return int64(l.MaxBodyMemoryMB) << 20
}

// isStoreURL reports whether text is an http or https URL whose host is an IP address and port.
func isStoreURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}
