// Package admin serves the administration API. Commands change the accepted policy; queries only read. Files named
// command_*.go and query_*.go hold their handlers. docs/administration.md describes the syntax.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Paths of the API.
const (
	CommandPath = "/admin/v1/commands/"
	QueryPath   = "/admin/v1/queries/"
)

// Headers of the API.
const (
	// HeaderChangeID carries the id of a change. A change that is sent again with the same id takes effect only once.
	HeaderChangeID = "Foxtailtack-Change-Id"
	// HeaderBaseVersion carries the policy version that the change is based on; 0 for an empty store.
	HeaderBaseVersion = "Foxtailtack-Base-Version"
	// HeaderReason carries the operator's reason for the change, which the version history records.
	HeaderReason = "Foxtailtack-Reason"
	// HeaderHost carries the id of the entry host that sent the response.
	HeaderHost = "Foxtailtack-Host"
	// HeaderVersion carries the version of a returned policy.
	HeaderVersion = "Foxtailtack-Version"
)

// Configuration reads and changes the accepted configuration. Its methods return a *result.Failure where a result code
// fits the error, or a *policy.InvalidError.
type Configuration interface {
	// Snapshot returns the latest accepted policy that this process has received, or nil if there is none.
	Snapshot() *policy.Snapshot
	// Head returns the head (metadata) of the version that Snapshot returns. Without a policy, its version is 0.
	Head() config.Head
	// Apply makes the document of a change the accepted one, as a new version.
	Apply(ctx context.Context, change config.Change) (config.Accepted, error)
	// Rollback makes the document of an earlier version the accepted one, as a new version.
	Rollback(ctx context.Context, to policy.Version, change config.Change) (config.Accepted, error)
	// History returns the heads of the latest versions, newest first, up to limit.
	History(ctx context.Context, limit int) ([]config.Head, error)
	// Load returns the document of a version.
	Load(ctx context.Context, version policy.Version) (*policy.Document, error)
}

// Options holds the dependencies and settings of an API.
type Options struct {
	// HostID is the id of this entry host. Responses carry it in HeaderHost.
	HostID string
	// FailureDomain is the failure domain of this entry host.
	FailureDomain string
	Configuration Configuration
	Status        Status
	// Lookup and View compute the explanation of a lookup response.
	Lookup *lookup.Resolver
	View   lookup.View
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// API is the administration API of one process.
type API struct {
	Options
}

// New returns an API with the given options.
func New(o Options) *API {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &API{Options: o}
}

// Register adds the routes of the API to a router.
func (a *API) Register(router *mux.Router) {
	a.registerCommands(router.PathPrefix(CommandPath).Methods(http.MethodPost).Subrouter())
	a.registerQueries(router.PathPrefix(QueryPath).Methods(http.MethodGet).Subrouter())
}

func (a *API) registerCommands(router *mux.Router) {
	router.HandleFunc("/apply", a.commandHandler("apply", a.apply))
	router.HandleFunc("/rollback", a.commandHandler("rollback", a.rollback))
	router.HandleFunc("/shift-start", a.commandHandler("shift-start", a.shiftStart))
	router.HandleFunc("/shift-stop", a.commandHandler("shift-stop", a.shiftStop))
	router.HandleFunc("/drain", a.commandHandler("drain", a.drain))
	router.HandleFunc("/undrain", a.commandHandler("undrain", a.undrain))
}

func (a *API) registerQueries(router *mux.Router) {
	router.HandleFunc("/policy", a.queryHandler(a.showPolicy))
	router.HandleFunc("/history", a.queryHandler(a.history))
	router.HandleFunc("/hosts", a.queryHandler(a.hosts))
	router.HandleFunc("/slots", a.queryHandler(a.slots))
	router.HandleFunc("/backend-servers", a.queryHandler(a.backendServers))
	router.HandleFunc("/explain", a.queryHandler(a.explain))
}
