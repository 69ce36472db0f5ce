package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
)

type listAnswer struct {
	Hosts map[string]hostlist.State `json:"hosts"`
}

// SetHost lists a host as live or leaving.
func (p *Platform) SetHost(id string, state hostlist.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[id] = state
}

// RemoveHost takes a host off the list.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, id)
}

// FreezeHosts keeps serving the list of this moment while on is true.
func (p *Platform) FreezeHosts(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		p.frozen = maps.Clone(p.hosts)
	}
}

// list serves the list with its digest as entity tag.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(listAnswer{Hosts: p.servedHosts()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (p *Platform) servedHosts() map[string]hostlist.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		return maps.Clone(p.frozen)
	}
	return maps.Clone(p.hosts)
}
