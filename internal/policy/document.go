// Package policy defines the dynamic configuration of a deployment: the document that operators write, its validation,
// and the compiled snapshot that every process reads.
package policy

import (
	"net/netip"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Document is a complete policy as operators write it in TOML. Encoding omits optional lists that are empty: TOML allows
// each key only once, so operators could not append [[...]] entries to a file that already contains the empty list.
type Document struct {
	// Deployment names the deployment. Required.
	Deployment string `toml:"deployment" validate:"required,max=64"`
	// Timing holds deployment-wide durations.
	Timing Timing `toml:"timing"`
	// Regions lists the regions.
	Regions []Region `toml:"regions" validate:"min=1,unique=Name,dive"`
	// FailureDomains lists the failure domains with their region.
	FailureDomains []FailureDomain `toml:"failure_domains" validate:"min=1,unique=Name,dive"`
	// Distances gives one-way delays between regions.
	Distances []Distance `toml:"distances,omitempty" validate:"dive"`
	// Hosts lists the entry hosts.
	Hosts []Host `toml:"hosts" validate:"min=1,unique=ID,dive"`
	// Services lists the services.
	Services []Service `toml:"services" validate:"min=1,unique=Name,dive"`
	// BackendServers lists the backend servers.
	BackendServers []BackendServer `toml:"backend_servers" validate:"min=1,unique=ID,dive"`
	// Callers lists the callers with credentials. Requests without a credential get the rank deferrable.
	Callers []Caller `toml:"callers,omitempty" validate:"unique=ID,dive"`
	// Operators lists who may use the administration API.
	Operators []Operator `toml:"operators,omitempty" validate:"unique=Name,dive"`
	// Sites lists the sites that client blocks are steered to.
	Sites []Site `toml:"sites,omitempty" validate:"unique=Name,dive"`
	// Shifts lists the planned traffic shifts in force.
	Shifts []Shift `toml:"shifts,omitempty" validate:"unique=ID,dive"`
	// DrainedBackendServers lists the ids of backend servers that receive no new requests.
	DrainedBackendServers []string `toml:"drained_backend_servers,omitempty"`
	// Blocks maps client blocks to sites. Blocks are stored separately from the document, in several parts, because
	// 160,000 blocks exceed the store's limit of 1 MB per value.
	Blocks []Block `toml:"blocks,omitempty" validate:"dive"`
}

// Timing holds deployment-wide durations. They cannot change after the first version, because the rules that assign slots
// to hosts depend on them, and hosts that hold different versions must apply the same rules.
type Timing struct {
	// HostListMaxLagMs is the upper bound on the lag of the platform's host list, in milliseconds. Default 10000.
	HostListMaxLagMs int `toml:"host_list_max_lag_ms" validate:"min=0,max=600000"`
	// EvidenceMaxAgeMs is the age in milliseconds from which a fetched host list no longer confirms that a host is gone.
	// Default 5000.
	EvidenceMaxAgeMs int `toml:"evidence_max_age_ms" validate:"min=0,max=600000"`
	// PauseLimitMs is the longest pause of its process, in milliseconds, after which a host still keeps its slots. Default 1000.
	PauseLimitMs int `toml:"pause_limit_ms" validate:"min=0,max=60000"`
	// MaxRequestMs is the longest time in milliseconds that a request of any service may take. Default 5000.
	MaxRequestMs int `toml:"max_request_ms" validate:"min=0,max=600000"`
}

// Region is a region of the deployment.
type Region struct {
	// Name is unique in the deployment.
	Name string `toml:"name" validate:"required,max=64"`
	// MaxShiftShare is the largest share (0 to 1) of the region's slots that all shifts into it may use in total. Default 0.5.
	MaxShiftShare float64 `toml:"max_shift_share" validate:"min=0,max=1"`
}

// FailureDomain is a failure domain inside a region.
type FailureDomain struct {
	// Name is unique in the deployment.
	Name string `toml:"name" validate:"required,max=64"`
	// Region names the region that contains the failure domain.
	Region string `toml:"region" validate:"required"`
}

// Distance is the one-way delay between two regions, or between the failure domains of one region when A equals B.
type Distance struct {
	A string `toml:"a" validate:"required"`
	B string `toml:"b" validate:"required"`
	// OneWayMs is the one-way delay in milliseconds.
	OneWayMs float64 `toml:"one_way_ms" validate:"min=0,max=10000"`
	// LinkMbps is the capacity of the link in each direction in Mbit/s; 0 means that no limit is known.
	LinkMbps float64 `toml:"link_mbps" validate:"min=0"`
}

// Host is an entry host.
type Host struct {
	// ID is unique in the deployment.
	ID string `toml:"id" validate:"required,max=64"`
	// FailureDomain names the failure domain of the host.
	FailureDomain string `toml:"failure_domain" validate:"required"`
	// Site names the site of the host. Default: the first site of the failure domain, or a site with the failure domain's
	// name if it has none.
	Site string `toml:"site"`
	// CallerAddress is the IP address and port that callers use.
	CallerAddress netip.AddrPort `toml:"caller_address" validate:"required"`
	// PeerAddress is the IP address and port that other entry hosts use.
	PeerAddress netip.AddrPort `toml:"peer_address" validate:"required"`
	// AdminAddress is the IP address and port of the administration API.
	AdminAddress netip.AddrPort `toml:"admin_address" validate:"required"`
	// Retired marks a host that is being removed: callers are no longer directed to it, but it keeps its position in the
	// home orders of slots until it is confirmed gone. A new host also has to be added as
	// retired. Default false.
	Retired bool `toml:"retired,omitempty"`
}

// Service is a service with its ranks and routes.
type Service struct {
	// Name is unique in the deployment and part of the path of each request: /s/{name}/...
	Name string `toml:"name" validate:"required,max=64"`
	// Team names the team whose operators may change the service.
	Team string `toml:"team" validate:"required"`
	// LookupTTLMs is the time to live of lookup responses in milliseconds. Default 2000.
	LookupTTLMs int `toml:"lookup_ttl_ms" validate:"min=0,max=300000"`
	// MaxRequestMs is the longest time in milliseconds that a request may take. Default 5000.
	MaxRequestMs int `toml:"max_request_ms" validate:"min=0,max=60000"`
	// MaxBodyBytes is the largest request body in bytes. Default 1048576.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=0,max=16777216"`
	// MaxResponseBytes is the largest response body in bytes. Default 4194304.
	MaxResponseBytes int64 `toml:"max_answer_bytes" validate:"min=0,max=67108864"`
	// HedgeAfterMs is the time in milliseconds after which an idempotent interactive request without a response is sent once
	// more, to another backend server; 0 disables hedging.
	HedgeAfterMs int `toml:"hedge_after_ms" validate:"min=0,max=60000"`
	// RetryBudget is the largest share (0 to 1) of attempts that may be retries or hedges. Default 0.1.
	RetryBudget float64 `toml:"retry_budget" validate:"min=0,max=1"`
	// RampMs is the time in milliseconds over which the usable slots of a new or recovered backend server grow from one to all.
	// Default 5000.
	RampMs int `toml:"ramp_ms" validate:"min=0,max=3600000"`
	// Ranks holds the limit and floor of each rank.
	Ranks Ranks `toml:"ranks"`
	// Routes are matched in order; the first match determines the rank.
	Routes []Route `toml:"routes" validate:"min=1,dive"`
	// Shed describes the response by which a backend server states that it shed the request without running it.
	Shed Shed `toml:"shed"`
	// HealthPath is the path of the backend servers' health endpoint. Default "/healthz".
	HealthPath string `toml:"health_path" validate:"omitempty,startswith=/"`
}

// Ranks holds the RankPolicy of each rank.
type Ranks struct {
	Urgent      RankPolicy `toml:"urgent"`
	Interactive RankPolicy `toml:"interactive"`
	Deferrable  RankPolicy `toml:"deferrable"`
}

// Of returns the policy of a rank.
func (r Ranks) Of(which rank.Rank) RankPolicy {
	switch which {
	case rank.Urgent:
		return r.Urgent
	case rank.Interactive:
		return r.Interactive
	default:
		return r.Deferrable
	}
}

// RankPolicy limits how many of a service's slots and how much of its queue a rank may use.
type RankPolicy struct {
	// Limit is the largest share (0 to 1) of the slots that this rank and all less urgent ranks may hold in total.
	// Default 1 for urgent, 0.85 for interactive and 0.6 for deferrable.
	Limit float64 `toml:"limit" validate:"min=0,max=1"`
	// Floor is the share (0 to 1) of the slots that stays available to the rank while more urgent requests wait. Default 0.
	Floor float64 `toml:"floor" validate:"min=0,max=1"`
	// QueuePerCaller is the largest number of requests of one caller that may wait at one entry host. Default 64.
	QueuePerCaller int `toml:"queue_per_caller" validate:"min=0,max=10000"`
}

// Route assigns a rank to the requests that match it.
type Route struct {
	// Method is an HTTP method; empty matches all.
	Method string `toml:"method" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE"`
	// PathPrefix is matched against the path after /s/{service}.
	PathPrefix string `toml:"path_prefix" validate:"required,startswith=/"`
	// Rank is the rank of matching requests, if the credential of the caller allows it. Required.
	Rank rank.Rank `toml:"rank"`
	// Repeatable is true if matching requests can safely be run more than once.
	Repeatable bool `toml:"repeatable"`
}

// Shed describes a response that guarantees that the backend server did not run the request.
type Shed struct {
	// Status is the HTTP status. Default 503.
	Status int `toml:"status" validate:"omitempty,min=400,max=599"`
	// Header is a header that must be present in addition to the status. Default "X-Not-Run".
	Header string `toml:"header" validate:"max=128"`
}

// BackendServer is a backend server of one service.
type BackendServer struct {
	// ID is unique in the deployment.
	ID string `toml:"id" validate:"required,max=64"`
	// Service names the service that the backend server runs.
	Service string `toml:"service" validate:"required"`
	// FailureDomain names the failure domain of the backend server.
	FailureDomain string `toml:"failure_domain" validate:"required"`
	// Address is the IP address and port of the backend server.
	Address netip.AddrPort `toml:"address" validate:"required"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `toml:"slots" validate:"min=1,max=10000"`
	// MaxConnections is the number of connections that the backend server accepts. Default 330.
	MaxConnections int `toml:"max_connections" validate:"min=0,max=100000"`
}

// Caller is a caller with a credential.
type Caller struct {
	// ID is unique in the deployment.
	ID string `toml:"id" validate:"required,max=64"`
	// TokenSHA256 is the hexadecimal SHA-256 of the bearer token.
	TokenSHA256 string `toml:"token_sha256" validate:"required,len=64,hexadecimal"`
	// Services names the services for which the credential is valid; empty means all.
	Services []string `toml:"services"`
	// HighestRank is the most urgent rank that the credential allows. Required.
	HighestRank rank.Rank `toml:"highest_rank"`
}

// Operator has a credential for the administration API.
type Operator struct {
	Name string `toml:"name" validate:"required,max=64"`
	// Team names the operator's team. The team "*" may change everything.
	Team string `toml:"team" validate:"required"`
	// TokenSHA256 is the hexadecimal SHA-256 of the bearer token.
	TokenSHA256 string `toml:"token_sha256" validate:"required,len=64,hexadecimal"`
}

// Site is a location inside a failure domain that client blocks are steered to.
type Site struct {
	Name string `toml:"name" validate:"required,max=64"`
	// FailureDomain names the failure domain of the site.
	FailureDomain string `toml:"failure_domain" validate:"required"`
}

// Block assigns preferred sites to the clients of an IP prefix.
type Block struct {
	Prefix netip.Prefix `toml:"prefix" validate:"required"`
	// Sites are the preferred sites, nearest first. All other sites follow in order of their distance from the first one.
	Sites []string `toml:"sites,omitempty" validate:"min=1"`
}

// Shift is a planned traffic shift.
type Shift struct {
	ID      string `toml:"id" validate:"required,max=64"`
	Service string `toml:"service" validate:"required"`
	// From and To name regions.
	From string `toml:"from" validate:"required"`
	To   string `toml:"to" validate:"required,nefield=From"`
	// Fraction is the share (0 to 1) of the service's requests in From that is moved to To.
	Fraction float64 `toml:"fraction" validate:"gt=0,max=1"`
	// CapSlots is the largest number of slots in To that shifted requests may hold at the same time.
	CapSlots int `toml:"cap_slots" validate:"min=1"`
	// RampMs is the time in milliseconds over which the shifted share grows from 0 to Fraction. Default 30000.
	RampMs int `toml:"ramp_ms" validate:"min=0,max=86400000"`
	// StartUnixMs is the start of the shift in Unix milliseconds (wall clock). It is set when the shift is accepted.
	StartUnixMs int64 `toml:"start_unix_ms"`
}
