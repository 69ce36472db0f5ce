package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
)

// removed is the state parameter that takes a host off the list.
const removed = "removed"

// addSwitches adds the endpoints of the switches:
//
//	POST /standin/down?mode=off|refuse|drop
//	POST /standin/slow?ms=n
//	POST /standin/lose-answers?n=n
//	POST /standin/watch-lag?ms=n
//	POST /standin/freeze-hosts?on=true|false
//	POST /standin/hosts/{id}?state=live|leaving|removed
//	GET  /standin/stats
func (p *Platform) addSwitches() {
	s := p.router.PathPrefix("/standin").Subrouter()
	post := func(path string, set func(*http.Request) bool) {
		s.HandleFunc(path, switchHandler(set)).Methods(http.MethodPost)
	}
	post("/down", p.switchDown)
	post("/slow", func(r *http.Request) bool { return setDuration(r, p.SetSlow) })
	post("/watch-lag", func(r *http.Request) bool { return setDuration(r, p.SetWatchLag) })
	post("/lose-answers", p.switchLoseAnswers)
	post("/freeze-hosts", p.switchFreezeHosts)
	post("/hosts/{id}", p.switchHost)
	s.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Stats()) }).Methods(http.MethodGet)
}

// switchHandler answers 204, or 400 if set reports that a parameter is wrong.
func switchHandler(set func(*http.Request) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !set(r) {
			http.Error(w, "unknown parameter value", http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func setDuration(r *http.Request, set func(time.Duration)) bool {
	ms, err := strconv.Atoi(r.URL.Query().Get("ms"))
	if err != nil || ms < 0 {
		return false
	}
	set(time.Duration(ms) * time.Millisecond)
	return true
}

func (p *Platform) switchDown(r *http.Request) bool {
	mode := Down(r.URL.Query().Get("mode"))
	if mode != Up && mode != Refuse && mode != Drop {
		return false
	}
	p.SetDown(mode)
	return true
}

func (p *Platform) switchLoseAnswers(r *http.Request) bool {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 0 {
		return false
	}
	p.LoseAnswers(n)
	return true
}

func (p *Platform) switchFreezeHosts(r *http.Request) bool {
	on, err := strconv.ParseBool(r.URL.Query().Get("on"))
	if err != nil {
		return false
	}
	p.FreezeHosts(on)
	return true
}

func (p *Platform) switchHost(r *http.Request) bool {
	id := mux.Vars(r)["id"]
	switch state := r.URL.Query().Get("state"); state {
	case string(hostlist.Live), string(hostlist.Leaving):
		p.SetHost(id, hostlist.State(state))
	case removed:
		p.RemoveHost(id)
	default:
		return false
	}
	return true
}
