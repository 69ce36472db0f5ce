// Package platform stands in for the platform's key-value service and host list in tests, demo and measurements.
// It is not shipped.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

// Platform is an http.Handler. It speaks the part of the store's protocol that platform.Keys uses and the one that hostlist.HTTP
// documents, and has switches for faults as methods and as HTTP endpoints under /standin/. The switches do not affect /standin/
// itself.
type Platform struct {
	router *mux.Router

	mu     sync.Mutex
	values map[string]store.Entry
	// changed is closed and replaced at each write, so that watches look again.
	changed chan struct{}
	hosts   map[string]hostlist.State
	// frozen is the list that is served while the host list is frozen, else nil.
	frozen map[string]hostlist.State
	faults faults
	stats  Stats
}

// Stats counts the calls of clients. A waiting watch counts as one.
type Stats struct {
	Calls     uint64 `json:"calls"`
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	HostLists uint64 `json:"host_lists"`
}

// New returns a platform without keys and hosts.
func New() *Platform {
	p := &Platform{
		router:  mux.NewRouter(),
		values:  map[string]store.Entry{},
		changed: make(chan struct{}),
		hosts:   map[string]hostlist.State{},
	}
	p.router.HandleFunc("/kv-key", p.counted(func(s *Stats) { s.Reads++ }, p.get)).Methods(http.MethodGet)
	p.router.HandleFunc("/kv-txn", p.counted(func(s *Stats) { s.Writes++ }, p.put)).Methods(http.MethodPost)
	p.router.HandleFunc("/kv-watch", p.counted(func(s *Stats) { s.Watches++ }, p.watch)).Methods(http.MethodGet)
	p.router.HandleFunc("/v1/hosts", p.counted(func(s *Stats) { s.HostLists++ }, p.list)).Methods(http.MethodGet)
	p.addSwitches()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// counted counts a call and applies the faults that come before it is carried out.
func (p *Platform) counted(count func(*Stats), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.stats.Calls++
		count(&p.stats)
		down, slow := p.faults.down, p.faults.slow
		p.mu.Unlock()
		pause(slow)
		switch down {
		case Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Drop:
			dropConnection()
		default:
			next(w, r)
		}
	}
}

// pause waits for d. A client that gave up does not end the wait, because the service carries the call out all the same.
func pause(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// dropConnection closes the client's connection without an answer; net/http recovers from this value quietly.
func dropConnection() { panic(http.ErrAbortHandler) }

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
