// Package admin serves the administration API. Commands change the accepted policy and queries only read, and both are
// kept in separate files. docs/administration.md has the syntax.
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
	// HeaderChangeID carries the id of a change; a repeat with the same id takes effect once.
	HeaderChangeID = "Foxtailtack-Change-Id"
	// HeaderBaseVersion carries the version that the operator has seen; 0 for an empty store.
	HeaderBaseVersion = "Foxtailtack-Base-Version"
	// HeaderReason carries the reason that the history keeps.
	HeaderReason = "Foxtailtack-Reason"
	// HeaderHost names the entry host that answered.
	HeaderHost = "Foxtailtack-Host"
	// HeaderVersion carries the version of a returned policy.
	HeaderVersion = "Foxtailtack-Version"
)

// Configuration is what the API needs of the accepted configuration. Errors are results of package result where one
// fits, or a *policy.InvalidError.
type Configuration interface {
	// Snapshot returns the accepted policy as far as this process knows it, or nil.
	Snapshot() *policy.Snapshot
	// Head returns the head of the same version; its version is 0 without a policy.
	Head() config.Head
	Apply(ctx context.Context, change config.Change) (config.Accepted, error)
	// Rollback makes the document of an earlier version the accepted one, as a new version.
	Rollback(ctx context.Context, to policy.Version, change config.Change) (config.Accepted, error)
	// History returns the latest heads, newest first.
	History(ctx context.Context, limit int) ([]config.Head, error)
	Load(ctx context.Context, version policy.Version) (*policy.Document, error)
}

// Options are what the API works on.
type Options struct {
	// HostID is the id of this entry host; answers name it.
	HostID string
	// FailureDomain is the failure domain of this entry host.
	FailureDomain string
	Configuration Configuration
	Status        Status
	// Lookup and View explain look-up answers.
	Lookup *lookup.Resolver
	View   lookup.View
	// Now is the clock. Default time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// API is the administration API of one process.
type API struct {
	Options
}

// New returns the API.
func New(o Options) *API {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &API{Options: o}
}

// Register adds the API to a router.
func (a *API) Register(router *mux.Router) {
	a.registerCommands(router.PathPrefix(CommandPath).Methods(http.MethodPost).Subrouter())
	a.registerQueries(router.PathPrefix(QueryPath).Methods(http.MethodGet).Subrouter())
}

func (a *API) registerCommands(router *mux.Router) {
	router.HandleFunc("/apply", a.command("apply", a.apply))
	router.HandleFunc("/rollback", a.command("rollback", a.rollback))
	router.HandleFunc("/shift-start", a.command("shift-start", a.shiftStart))
	router.HandleFunc("/shift-stop", a.command("shift-stop", a.shiftStop))
	router.HandleFunc("/drain", a.command("drain", a.drain))
	router.HandleFunc("/undrain", a.command("undrain", a.undrain))
}

func (a *API) registerQueries(router *mux.Router) {
	router.HandleFunc("/policy", a.query(a.showPolicy))
	router.HandleFunc("/history", a.query(a.history))
	router.HandleFunc("/hosts", a.query(a.hosts))
	router.HandleFunc("/slots", a.query(a.slots))
	router.HandleFunc("/backend-servers", a.query(a.backendServers))
	router.HandleFunc("/explain", a.query(a.explain))
}
