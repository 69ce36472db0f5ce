// Package entry assembles an entry host process: it creates the components from the settings, runs them and stops them
// without interrupting requests.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/listener"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/shutdown"
	"github.com/foxtailtack/foxtailtack/internal/slots"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
	"github.com/foxtailtack/foxtailtack/platform"
)

// Error is the class of errors of this package.
var Error = errs.Class("entry")

// lookupExpiryMargin is added to the time to live of look-up responses before a stopping host closes its listener. It covers
// the time until all hosts that serve look-ups have received the leaving state: a heartbeat and a summary interval.
const lookupExpiryMargin = 4 * time.Second

// Entry is an entry host process.
type Entry struct {
	settings *settings.Settings
	log      zerolog.Logger
	metrics  *telemetry.Metrics
	traces   *telemetry.Traces

	stateMetrics *stateMetrics

	cluster         *cluster
	capacity        *capacity
	registry        *backend.Registry
	backends        *backend.Client
	poller          *backend.Poller
	grants          *issuedGrants
	router          *router
	pipeline        *forward.Pipeline
	peers           *peer.Client
	config          *config.Manager
	hostList        hostlist.Source
	store           *platform.Keys
	lookupResponder *lookup.Resolver
	view            *view

	peerServer   *peer.Server
	callerServer *listener.Listener
	adminServer  *listener.Listener

	// slotOptions holds the bounds that the slot rules depend on, from the policy in force.
	slotOptions atomic.Pointer[slots.Options]
	started     time.Time
	// closing is true once this host accepts no more requests.
	closing atomic.Bool
	// stopPlan is nil until the process is to stop.
	stopPlan atomic.Pointer[shutdown.Plan]
	// activeForwards is the number of running requests that other hosts forwarded to this one.
	activeForwards atomic.Int64

	runContext      context.Context
	stopRun         context.CancelFunc
	backgroundTasks sync.WaitGroup
}

// Provision creates a process and binds its addresses. The caller must call Run, or Close if it does not call Run.
func Provision(s *settings.Settings, log zerolog.Logger) (*Entry, error) {
	e := &Entry{settings: s, log: log.With().Str("host", s.HostID).Logger()}
	e.runContext, e.stopRun = context.WithCancel(context.Background())
	var err error
	if e.traces, err = telemetry.NewTraces(s.HostID, s.Log.TraceSample); err != nil {
		return nil, Error.Wrap(err)
	}
	e.metrics = telemetry.NewMetrics(map[string]string{"host": s.HostID, "failure_domain": s.FailureDomain})
	e.provisionState()
	if err := e.bind(); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// provisionState creates the components that do not listen.
func (e *Entry) provisionState() {
	s := e.settings
	now := time.Now()
	e.started = now
	options := defaultSlotOptions()
	e.slotOptions.Store(&options)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.cluster = newCluster(s.HostID, s.FailureDomain, options, rng, now)
	e.registry = backend.NewRegistry(backend.RegistryOptions{Seed: rand.Uint64(), RoundRobin: s.Comparison.RoundRobin})
	e.backends = backend.NewClient()
	e.poller = backend.NewPoller(e.registry)
	e.capacity = newCapacity(e.cluster, e.registry, s.Comparison.RoundRobin)
	e.grants = newIssuedGrants(e.capacity)
	e.peers = peer.NewClient(s.PeerAddress.Addr(), e.resolve)
	e.router = newRouter(s.HostID, s.FailureDomain, e.peers, e.runInBackground)
	e.store = platform.NewKeys(s.Store.URL, s.Store.KeyPrefix, s.Store.Timeout())
	e.store.LogTo(e.log)
	e.hostList = hostlist.NewHTTP(s.Store.URL, s.Store.Timeout())
	e.config = config.NewManager(e.store, e.peers, e.log)
	e.view = newView(e.router.overflowShare)
	e.lookupResponder = lookup.NewResolver(s.HostID)
	e.pipeline = e.newPipeline()
	e.stateMetrics = newStateMetrics(e.metrics.Scope, e.stateSources())
	e.config.Subscribe(e.configure)
}

// bind opens the listeners and registers the handlers.
func (e *Entry) bind() error {
	s := e.settings
	peerListen, err := net.Listen("tcp", s.PeerAddress.String())
	if err != nil {
		return Error.New("peer_address: %v", err)
	}
	if e.peerServer, err = peer.NewServer(peerListen, peerHandler{e}, e.log); err != nil {
		return err
	}
	e.callerServer, err = listener.Listen(listener.Options{
		Name: "caller_address", Address: s.CallerAddress, Handler: e.callerRouter(),
		MaxConnections: s.Limits.MaxConnections, MaxHeaderBytes: s.Limits.MaxHeaderBytes, Log: e.log,
	})
	if err != nil {
		return err
	}
	e.adminServer, err = listener.Listen(listener.Options{Name: "admin_address", Address: s.AdminAddress, Handler: e.adminRouter(), Log: e.log})
	return err
}

func (e *Entry) callerRouter() *mux.Router {
	handler := &callerHandler{
		snapshot: e.config.Snapshot,
		pipeline: e.pipeline,
		identity: e.cluster.identity,
		metrics:  newCallerMetrics(e.metrics.Scope),
		stopPlan: e.stopPlan.Load,
	}
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc(lookup.Path, e.serveLookup).Methods(http.MethodGet, http.MethodHead)
	handler.register(router)
	return router
}

func (e *Entry) adminRouter() *mux.Router {
	router := mux.NewRouter()
	admin.New(admin.Options{
		HostID:        e.settings.HostID,
		FailureDomain: e.settings.FailureDomain,
		Configuration: e.config,
		Status:        e,
		Lookup:        e.lookupResponder,
		View:          e.view,
		Log:           e.log,
	}).Register(router)
	router.Handle("/metrics", e.metrics.Handler)
	router.Handle("/traces", e.traces)
	router.HandleFunc("/healthz", e.serveHealth)
	return router
}

// Run serves until ctx is done, and then stops without interrupting requests.
func (e *Entry) Run(ctx context.Context) error {
	defer e.Close()
	failures := make(chan error, 3)
	serve := func(name string, run func() error) {
		go func() {
			if err := run(); err != nil && !e.closing.Load() {
				failures <- Error.New("%s: %v", name, err)
			}
		}()
	}
	serve("peer_address", e.peerServer.Serve)
	serve("caller_address", e.callerServer.Serve)
	serve("admin_address", e.adminServer.Serve)
	e.startLoops()
	e.log.Info().Str("caller_address", e.settings.CallerAddress.String()).Str("admin_address", e.settings.AdminAddress.String()).Msg("started")
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
		e.stop()
		return nil
	}
}

// runInBackground runs step in a goroutine, with a context that is cancelled when the process stops.
func (e *Entry) runInBackground(step func(context.Context)) {
	e.backgroundTasks.Go(func() { guard.Run(e.runContext, e.log, "background", step) })
}

// Close stops the process immediately, without waiting for running requests.
func (e *Entry) Close() {
	e.closing.Store(true)
	e.stopRun()
	if e.callerServer != nil {
		_ = e.callerServer.Close()
	}
	if e.adminServer != nil {
		_ = e.adminServer.Close()
	}
	if e.peerServer != nil {
		_ = e.peerServer.Close()
	}
	e.peers.Close()
	e.backends.Close()
	e.backgroundTasks.Wait()
	_ = e.traces.Close(context.Background())
	_ = e.metrics.Close()
}

// configure applies a new policy to all components.
func (e *Entry) configure(snapshot *policy.Snapshot) {
	now := time.Now()
	options := slotOptions(snapshot)
	e.slotOptions.Store(&options)
	table, err := lookup.Recompile(e.lookupResponder.Table(), snapshot, e.settings.FailureDomain)
	if err != nil {
		e.log.Error().Uint64("version", uint64(snapshot.Version)).Err(err).Msg("lookup_table_failed")
	} else {
		e.lookupResponder.SetTable(table)
	}
	e.cluster.configure(snapshot, options, now)
	e.registry.Configure(snapshot, e.settings.FailureDomain, now)
	e.backends.Retain(func(id string) bool { return snapshot.BackendServer(id) != nil })
	e.capacity.configure(snapshot)
	e.router.configure(snapshot)
	e.grants.configure(snapshot, snapshot.Region(e.settings.FailureDomain))
	e.refreshView(now)
}
