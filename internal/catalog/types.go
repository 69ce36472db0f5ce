// Package catalog maintains an entry host's view of the deployment: the configuration in force, the backend servers, the
// evacuated failure domains and the other entry hosts. The view is built from the platform's store.
package catalog

import (
	"context"
	"encoding/hex"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("catalog")

// ErrCompacted is returned if the store no longer has the history after the requested revision.
var ErrCompacted = errors.New("history is compacted")

// ErrConfigurationMissing is returned if the source's changes were read up to a revision without the configuration in force there.
var ErrConfigurationMissing = errors.New("a configuration that was announced has not arrived")

// ErrWatchStalled is returned if a watch is open but does not deliver changes that the store has.
var ErrWatchStalled = errors.New("the watch does not deliver changes")

// Era counts how often the store was restored from an older copy. It is 0 for a store that does not state it.
type Era uint32

// MaxEra is the largest era that a Revision can hold.
const MaxEra Era = 1<<(64-numberBits) - 1

// numberBits is the size of the store's own sequence number in a Revision. At 10,000 writes a second it lasts for three years.
const numberBits = 40

// Revision is the position of a change in the history of the store: its era in the upper 24 bits and the store's sequence number in
// the lower 40. The store assigns numbers again after it was restored, so revisions are ordered by era first.
type Revision uint64

// NewRevision returns the revision of a sequence number in an era. Numbers and eras that do not fit are replaced by the largest ones that
// do, so that they never change the other part.
func NewRevision(era Era, number uint64) Revision {
	return Revision(uint64(min(era, MaxEra))<<numberBits | min(number, 1<<numberBits-1))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's sequence number of the revision.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// Version is the number of an accepted configuration. 0 means none.
type Version uint64

// Configuration is a complete accepted configuration. It is immutable. JSON dumps omit the fields of customers and unusable parts if they
// are empty.
type Configuration struct {
	Version Version
	Limits  CallerLimits
	// Routes holds the routes by host name, longest prefix first.
	Routes   map[string][]*Route
	Services map[string]*Service
	// KeysRequired is true if requests of routes that are not public need the key of a customer.
	KeysRequired bool `json:",omitempty"`
	// Customers holds the customers by name, Keys the names of the customers by the digests of their keys.
	Customers map[string]*Customer `json:",omitempty"`
	Keys      map[KeyDigest]string `json:",omitempty"`
	// CustomersIncomplete is true if a customer or one of its keys could not be decoded, so that an unknown key may be valid.
	CustomersIncomplete bool `json:",omitempty"`
	// RoutesIncomplete is true if a route could not be decoded and its host name is not known, so that a request without a route may
	// belong to it.
	RoutesIncomplete bool `json:",omitempty"`
	// Issues lists the parts of the configuration that are not in force, each with its reason.
	Issues []string `json:",omitempty"`
}

// KeyDigest identifies the key of a customer: the first bytes of its SHA-256 hash. Keys themselves are not kept.
type KeyDigest [16]byte

// MarshalText implements encoding.TextMarshaler for JSON dumps.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// Customer is a customer of the operators, on whose behalf requests are made.
type Customer struct {
	Name string
	// Rank takes precedence over the rank of a route if HasRank is true; 0 is the most urgent.
	Rank    int
	HasRank bool
	// RatePerSecond is the number of requests per second that the customer may make over all hosts, and Burst the number that it may
	// make at once in addition. A rate of zero means no limit.
	RatePerSecond float64
	Burst         float64
	// Homes lists the regions in which requests of the customer may be executed; empty means all regions.
	Homes []string
}

// AllowedIn reports whether requests of the customer may be executed in a region. A nil customer has no restriction.
func (c *Customer) AllowedIn(region string) bool {
	return c == nil || len(c.Homes) == 0 || slices.Contains(c.Homes, region)
}

// Customer returns the customer of a key, or nil if no customer has it.
func (c *Configuration) Customer(key KeyDigest) *Customer { return c.Customers[c.Keys[key]] }

// CallerLimits limits the size of callers' requests and the time to receive them.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route defines how requests for a host name and path prefix are handled.
type Route struct {
	Name       string
	HostName   string
	Prefix     string
	Idempotent bool
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank int
	// SLO is the response time up to which a response has its full value.
	SLO time.Duration
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// Attempts is the maximum number of backend servers that a request may be sent to, including the first.
	Attempts int
	// Sticky is true if a backend server is faster for objects that it has handled recently.
	Sticky bool
	// Homes lists the regions in which requests of the route may be executed; empty means all regions.
	Homes []string
	// Targets lists the services among which the route's requests are split.
	Targets []Target
	// Public is true if requests of the route need no key of a customer.
	Public bool `json:",omitempty"`
	// LargeBodies is true if the bodies of the route's requests are large.
	LargeBodies bool `json:",omitempty"`
	// Unusable is the reason why requests of the route are rejected, empty if they are not.
	Unusable string `json:",omitempty"`
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets.
	Weight int
}

// AllowedIn reports whether requests of a customer for the route may be executed in a region: both the route and the customer have to
// allow it. A nil customer has no restriction.
func (r *Route) AllowedIn(region string, customer *Customer) bool {
	return (len(r.Homes) == 0 || slices.Contains(r.Homes, region)) && customer.AllowedIn(region)
}

// RankFor returns the priority of the requests of a customer for the route; 0 is the most urgent. The customer may be nil.
func (r *Route) RankFor(customer *Customer) int {
	if customer != nil && customer.HasRank {
		return customer.Rank
	}
	return r.Rank
}

// Service is the configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all its clients together.
	MaxConnections int
	// ColdFor is the time for which a backend server is cold after it starts.
	ColdFor time.Duration
	// ColdPerSecond is the request rate, in requests per second, that a cold backend server tolerates.
	ColdPerSecond float64
}

// PlacesByCost reports whether requests are placed by what they are expected to cost, with observations that hosts share: if the
// configuration has customers or routes with large bodies, whose requests differ more than those of other configurations.
func (c *Configuration) PlacesByCost() bool {
	if c.KeysRequired {
		return true
	}
	for _, routes := range c.Routes {
		if slices.ContainsFunc(routes, func(r *Route) bool { return r.LargeBodies }) {
			return true
		}
	}
	return false
}

// Route returns the route of the host name with the longest matching path prefix, or nil if none matches.
func (c *Configuration) Route(hostName, path string) *Route {
	for _, r := range c.Routes[hostName] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// SortRoutes sorts the routes of each host name by descending prefix length, as Route requires.
func (c *Configuration) SortRoutes() {
	for _, routes := range c.Routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Incarnation identifies one lifetime of a process. It is the start time in Unix milliseconds and distinguishes processes that
// were started under the same id.
type Incarnation int64

// Server is the entry that a backend server writes about itself to the store.
type Server struct {
	ID            string
	Incarnation   Incarnation
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Software      string
	Slots         int
	Draining      bool
	// ColdFor is the remaining cold time of the server when it wrote the entry.
	ColdFor time.Duration
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
}

// Host is the entry that an entry host writes about itself to the store.
type Host struct {
	ID            string         `json:"id"`
	Incarnation   Incarnation    `json:"incarnation"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
	CallerAddress netip.AddrPort `json:"caller_address"`
	PeerAddress   netip.AddrPort `json:"peer_address"`
	// Stopping is true from the beginning of a planned stop.
	Stopping bool `json:"stopping,omitempty"`
}

// Change is the new state of one store entry. Exactly one of the fields after Revision is set; InvalidServer may be set in
// addition to Invalid.
type Change struct {
	Revision Revision
	// Configuration is a new configuration.
	Configuration *Configuration
	// Announced is the version of a new configuration that is handed out apart from the other changes.
	Announced Version
	// Server is a new or changed backend server; ServerGone is the id of a removed one.
	Server     *Server
	ServerGone string
	// Evacuated is a failure domain that must not receive requests; Restored is one that may receive them again.
	Evacuated string
	Restored  string
	// Host is a new or changed entry host; HostGone is the id of a removed one.
	Host     *Host
	HostGone string
	// Invalid is the reason why an entry cannot be used. InvalidServer is the id of the server that the entry describes, if any.
	Invalid       string
	InvalidServer string
}

// Batch is the result of a List or Watch call.
type Batch struct {
	Changes []Change
	// Since is the revision after which a listing contains the changes only; 0 means that it contains all entries.
	Since Revision
	// Revision is the revision from which a watch continues.
	Revision Revision
	// Age is the time since the responding host last received a response of the platform's store. It is zero if the store itself
	// responds.
	Age time.Duration
}

// Store is the source of a view: the platform's store or another host that follows it.
type Store interface {
	// List reads all entries. If the source is another host, it may return only the changes since the revision of the view (see
	// Batch.Since). Batch.Revision is the revision of the store before the first entry was read.
	List(ctx context.Context) (Batch, error)
	// Watch waits at most for wait for changes after a revision. Errors: ErrCompacted, ErrConfigurationMissing, ErrWatchStalled.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Batch, error)
}
