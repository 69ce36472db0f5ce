// Package catalog is what an entry host believes about the deployment: the configuration in force, the backend servers,
// the evacuated failure domains and the other entry hosts. It learns them from the platform's store.
package catalog

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("catalog")

// ErrCompacted says that the store no longer has the history after the asked revision.
var ErrCompacted = errors.New("history is compacted")

// ErrWatchDeaf says that the store has changes which a watch that waits for them does not tell.
var ErrWatchDeaf = errors.New("the watch does not tell of changes")

// Revision numbers the changes of the store.
type Revision uint64

// Version numbers accepted configurations. 0 means none.
type Version uint64

// Configuration is one accepted configuration in full. It is immutable.
type Configuration struct {
	Version Version
	Limits  CallerLimits
	// Routes holds the routes of each host name, the longest prefix first.
	Routes   map[string][]*Route
	Services map[string]*Service
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route tells what to do with the requests of a host name and path prefix.
type Route struct {
	Name       string
	HostName   string
	Prefix     string
	Idempotent bool
	// Rank is 0 for the most urgent work.
	Rank int
	// SLO is the time within which an answer earns its full worth.
	SLO time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Attempts is the largest number of backend servers that one request may be sent to.
	Attempts int
	// Sticky is true if a backend server works faster on objects that it has handled recently.
	Sticky bool
	// Homes are the only regions in which the route may run; empty means all.
	Homes []string
	// Targets are the services that share the route's requests.
	Targets []Target
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets.
	Weight int
}

// AllowedIn reports whether the route may run in a region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Service is what the configuration says of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all callers together.
	MaxConnections int
	// ColdFor is the time for which a backend server is cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests a second that a cold backend server tolerates.
	ColdPerSecond float64
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Route(hostName, path string) *Route {
	for _, r := range c.Routes[hostName] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// SortRoutes puts the longest prefix of each host name first.
func (c *Configuration) SortRoutes() {
	for _, routes := range c.Routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Incarnation tells two starts of a process with the same id apart, in Unix milliseconds.
type Incarnation int64

// Server is what a backend server says of itself in the store.
type Server struct {
	ID            string
	Incarnation   Incarnation
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Software      string
	Slots         int
	Draining      bool
	// ColdFor is how much longer the server was cold when it wrote the entry.
	ColdFor time.Duration
	// Sequence rises with each heartbeat of one incarnation.
	Sequence uint64
}

// Host is what an entry host says of itself in the store.
type Host struct {
	ID            string         `json:"id"`
	Incarnation   Incarnation    `json:"incarnation"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
	CallerAddress netip.AddrPort `json:"caller_address"`
	PeerAddress   netip.AddrPort `json:"peer_address"`
}

// Change is one entry of the store after it changed. Exactly one of the fields after Revision is set.
type Change struct {
	Revision Revision
	// Configuration is a new configuration.
	Configuration *Configuration
	// Server is a new or changed backend server; ServerGone is the id of a removed one.
	Server     *Server
	ServerGone string
	// Evacuated is a failure domain that is to get no requests; Restored one that may get them again.
	Evacuated string
	Restored  string
	// Host is a new or changed entry host; HostGone is the id of a removed one.
	Host     *Host
	HostGone string
	// Invalid tells why an entry cannot be used. InvalidServer is the id of the server that it stands for, if any.
	Invalid       string
	InvalidServer string
}

// Batch is an answer of a store.
type Batch struct {
	Changes []Change
	// Since is the revision from which a listing tells the changes only; 0 means that it tells everything.
	Since Revision
	// Revision is the one from which a watch continues.
	Revision Revision
	// Age is the time since the platform's store itself was heard by the one that answers, zero for the store.
	Age time.Duration
}

// Store is what the catalog needs of the platform's store, or of another host that follows it.
type Store interface {
	// List reads all entries, or from another host the changes since the revision of the view. The revision is that of the store before
	// the first entry was read.
	List(ctx context.Context) (Batch, error)
	// Watch waits for changes after a revision, for at most wait. Errors: ErrCompacted, ErrWatchDeaf.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Batch, error)
}
