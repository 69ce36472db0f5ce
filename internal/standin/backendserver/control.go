package backendserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// LoadReport is the answer of GET /load.
type LoadReport struct {
	InUse int `json:"in_use"`
	Slots int `json:"slots"`
}

// loadReport overrides the true load while set is true.
type loadReport struct {
	set   bool
	value LoadReport
}

// SetLoad makes GET /load report a fixed value, also a false one.
func (s *Server) SetLoad(value LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = loadReport{set: true, value: value}
}

// FreezeLoad makes GET /load repeat the present value.
func (s *Server) FreezeLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = loadReport{set: true, value: s.trueLoad()}
}

// TrueLoad ends SetLoad and FreezeLoad.
func (s *Server) TrueLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = loadReport{}
}

func (s *Server) trueLoad() LoadReport {
	return LoadReport{InUse: s.stats.InUse, Slots: s.options.Slots}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	value := s.trueLoad()
	if s.load.set {
		value = s.load.value
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, value)
}

// controlRoutes serves the faults under /standin/ for the demo and the measurements:
//
//	GET  /stats
//	POST /fault?name=die-mid-answer&count=1
//	POST /clear
//	POST /drain?on=true, POST /drain/notice?health=true&header=false
//	POST /load?in_use=0&slots=9, POST /load/freeze, POST /load/true
//	POST /silence
//	POST /refuse?for_ms=1000
//	POST /die?for_ms=1000 (closes the connection of this call too, without an answer)
func (s *Server) controlRoutes(router *mux.Router) {
	router.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	}).Methods(http.MethodGet)
	s.control(router, "/fault", func(r *http.Request) { s.Inject(Fault(r.FormValue("name")), number(r, "count", 1)) })
	s.control(router, "/clear", func(*http.Request) { s.Clear() })
	s.control(router, "/drain", func(r *http.Request) { s.SetDraining(r.FormValue("on") != "false") })
	s.control(router, "/drain/notice", func(r *http.Request) {
		s.SetDrainNotice(r.FormValue("health") == "true", r.FormValue("header") == "true")
	})
	s.control(router, "/load", func(r *http.Request) {
		s.SetLoad(LoadReport{InUse: number(r, "in_use", 0), Slots: number(r, "slots", s.options.Slots)})
	})
	s.control(router, "/load/freeze", func(*http.Request) { s.FreezeLoad() })
	s.control(router, "/load/true", func(*http.Request) { s.TrueLoad() })
	s.control(router, "/silence", func(*http.Request) { s.SilenceOpen() })
	s.control(router, "/refuse", func(r *http.Request) { s.stopFor(r, s.Refuse) })
	s.control(router, "/die", func(r *http.Request) { s.stopFor(r, s.Die) })
}

func (s *Server) control(router *mux.Router, path string, action func(*http.Request)) {
	router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		action(r)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}

// stopFor stops the listener and opens it again later, since nobody can reach the stand-in to do so.
func (s *Server) stopFor(r *http.Request, stop func()) {
	after := time.Duration(number(r, "for_ms", 1000)) * time.Millisecond
	stop()
	time.AfterFunc(after, func() { _ = s.Accept() })
}

func number(r *http.Request, name string, fallback int) int {
	n, err := strconv.Atoi(r.FormValue(name))
	if err != nil {
		return fallback
	}
	return n
}
