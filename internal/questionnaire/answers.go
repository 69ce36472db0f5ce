// Package questionnaire generates the configuration of a deployment from the answers of a team: the steering policy and one
// settings file for each entry host.
package questionnaire

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("questionnaire")

// Answers is a filled-in form. Names, ranks and addresses are strings, so that an invalid one does not make Decode fail
// but is reported together with all other problems.
type Answers struct {
	Deployment     Deployment       `toml:"deployment"`
	Platform       Platform         `toml:"platform"`
	Ports          Ports            `toml:"ports"`
	Regions        []Region         `toml:"regions"`
	FailureDomains []FailureDomain  `toml:"failure_domains"`
	Links          []Link           `toml:"links"`
	EntryHosts     []EntryHosts     `toml:"entry_hosts"`
	Services       []Service        `toml:"services"`
	BackendServers []BackendServers `toml:"backend_servers"`
	Callers        []Caller         `toml:"callers"`
	Operators      []Operator       `toml:"operators"`
	ClientBlocks   []ClientBlock    `toml:"client_blocks"`
}

// Deployment names the deployment.
type Deployment struct {
	Name string `toml:"name"`
}

// Platform describes how to reach the platform's key-value service and host list.
type Platform struct {
	StoreURL string `toml:"store_url"`
	// KeyPrefix is the prefix of each key. Default "foxtailtack/".
	KeyPrefix string `toml:"key_prefix"`
}

// Ports holds the ports of those entry hosts whose addresses are given as a list of IP addresses.
type Ports struct {
	// Caller is the port for callers. Default 7080.
	Caller int `toml:"caller"`
	// Peer is the port for other entry hosts. Default 7081.
	Peer int `toml:"peer"`
	// Admin is the port for operators. Default 7082.
	Admin int `toml:"admin"`
}

// Region is a region of the deployment.
type Region struct {
	Name string `toml:"name"`
	// MaxShiftShare is the largest share (0 to 1) of the region's slots that all shifts into it may use in total. Default 0.5.
	MaxShiftShare float64 `toml:"max_shift_share"`
}

// FailureDomain is a failure domain of a region.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Link describes the network between two regions, or between the failure domains of a region when A equals B.
type Link struct {
	A string `toml:"a"`
	B string `toml:"b"`
	// OneWayMs is the one-way delay in milliseconds.
	OneWayMs float64 `toml:"one_way_ms"`
	// Mbps is the capacity in each direction in Mbit/s; 0 if not known.
	Mbps float64 `toml:"mbps"`
}

// Addresses holds the addresses of a group of processes, either as a list or as a range of IP addresses with a first port.
type Addresses struct {
	// Addresses lists IP addresses of entry hosts, or IP addresses with ports of backend servers.
	Addresses []string `toml:"addresses"`
	// IPRange is one IP address, or the first and last one joined by a hyphen.
	IPRange string `toml:"ip_range"`
	// PortStart is the first port of a range. If there are fewer addresses than processes, further processes use the same
	// addresses with the next ports.
	PortStart int `toml:"port_start"`
}

// EntryHosts describes the entry hosts of a failure domain.
type EntryHosts struct {
	FailureDomain string `toml:"failure_domain"`
	Count         int    `toml:"count"`
	Addresses
}

// BackendServers describes the backend servers of a service in a failure domain.
type BackendServers struct {
	Service       string `toml:"service"`
	FailureDomain string `toml:"failure_domain"`
	Count         int    `toml:"count"`
	Addresses
}

// Service describes a service.
type Service struct {
	Name string `toml:"name"`
	Team string `toml:"team"`
	// BackendServers is the total number of backend servers in all failure domains.
	BackendServers int `toml:"backend_servers"`
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int `toml:"slots"`
	// Connections is the number of connections that a backend server accepts.
	Connections int `toml:"connections"`
	// MaxRequestMs is the longest time in milliseconds that a request may take. Default 5000.
	MaxRequestMs int `toml:"max_request_ms"`
	// LookupTTLMs is the time in milliseconds for which callers cache lookup responses. Default 2000.
	LookupTTLMs int `toml:"lookup_ttl_ms"`
	// HedgeAfterMs is the time in milliseconds after which an idempotent interactive request is sent a second time; 0 disables
	// hedging.
	HedgeAfterMs int `toml:"hedge_after_ms"`
	// HealthPath is the path of the health endpoint. Default "/healthz".
	HealthPath string  `toml:"health_path"`
	Ranks      Ranks   `toml:"ranks"`
	Routes     []Route `toml:"routes"`
}

// Ranks holds the answers for each rank.
type Ranks struct {
	Urgent      Rank `toml:"urgent"`
	Interactive Rank `toml:"interactive"`
	Deferrable  Rank `toml:"deferrable"`
}

// Rank holds the answers for one rank of a service.
type Rank struct {
	// Limit is the largest share (0 to 1) of the slots that this rank and all less urgent ranks may hold in total. Default 1 for
	// urgent, 0.85 for interactive and 0.6 for deferrable.
	Limit float64 `toml:"limit"`
	// Floor is the share (0 to 1) of the slots that stays available to the rank while more urgent requests wait. Default 0.
	Floor float64 `toml:"floor"`
	// PeakPerSecond is the expected peak rate in requests per second; 0 if not known.
	PeakPerSecond float64 `toml:"peak_per_second"`
	// MeanMs is the mean time that a request holds a slot, in milliseconds; 0 if not known.
	MeanMs float64 `toml:"mean_ms"`
}

// Route assigns a rank to the requests that match it.
type Route struct {
	// Method is an HTTP method; empty matches all.
	Method string `toml:"method"`
	// Path is a prefix of the path after /s/{service}.
	Path       string `toml:"path"`
	Rank       string `toml:"rank"`
	Repeatable bool   `toml:"repeatable"`
}

// Caller is a caller with a credential.
type Caller struct {
	ID          string   `toml:"id"`
	TokenSHA256 string   `toml:"token_sha256"`
	Services    []string `toml:"services"`
	HighestRank string   `toml:"highest_rank"`
}

// Operator has a credential for the administration API.
type Operator struct {
	Name string `toml:"name"`
	// Team names the operator's team. The team "*" may change everything.
	Team        string `toml:"team"`
	TokenSHA256 string `toml:"token_sha256"`
}

// ClientBlock assigns preferred failure domains, nearest first, to the clients of an IP prefix.
type ClientBlock struct {
	Prefix         string   `toml:"prefix"`
	FailureDomains []string `toml:"failure_domains"`
}

// Decode reads answers from TOML. An unknown question or a value of the wrong type is an error that names the line and the
// key.
func Decode(text []byte) (*Answers, error) {
	a := new(Answers)
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(a)
	if err == nil {
		return a, nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return nil, Error.New("unknown question:\n%s", strict.String())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return nil, Error.New("%s", decode.String())
	}
	return nil, Error.Wrap(err)
}
