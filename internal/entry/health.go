package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// health is the JSON body of /healthz.
type health struct {
	Host          string         `json:"host"`
	FailureDomain string         `json:"failure_domain"`
	Incarnation   uint64         `json:"incarnation"`
	State         string         `json:"state"`
	Ready         bool           `json:"ready"`
	ConfigVersion policy.Version `json:"config_version"`
	// SlotsUsable and SlotsInUse are numbers of slots by service.
	SlotsUsable map[string]int `json:"slots_usable"`
	SlotsInUse  map[string]int `json:"slots_in_use"`
	// PeerBytesSent and PeerBytesReceived count the connections that this host opened to others.
	PeerBytesSent     uint64 `json:"peer_bytes_sent"`
	PeerBytesReceived uint64 `json:"peer_bytes_received"`
	// AcceptedBytesSent and AcceptedBytesReceived count the connections that others opened to this host.
	AcceptedBytesSent     uint64 `json:"accepted_bytes_sent"`
	AcceptedBytesReceived uint64 `json:"accepted_bytes_received"`
}

var stateNames = map[membership.State]string{
	membership.Joining: "joining",
	membership.Serving: "serving",
	membership.Leaving: "leaving",
}

// serveHealth responds with status 200 while the process accepts requests, and with 503 otherwise.
func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	body := e.health(time.Now())
	w.Header().Set("Content-Type", "application/json")
	if body.ConfigVersion == 0 || body.State == stateNames[membership.Leaving] {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Entry) health(now time.Time) health {
	h := health{
		Host:          e.settings.HostID,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   uint64(e.cluster.identity().Incarnation),
		SlotsUsable:   map[string]int{},
		SlotsInUse:    map[string]int{},
	}
	if snapshot := e.config.Snapshot(); snapshot != nil {
		h.ConfigVersion = snapshot.Version
	}
	h.PeerBytesSent, h.PeerBytesReceived = e.peers.Bytes()
	h.AcceptedBytesSent, h.AcceptedBytesReceived = e.peerServer.Bytes()
	// Code that holds the lock of the capacity may lock the cluster, so the capacity is read before the cluster is locked.
	controllers := e.capacity.allControllers()
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	h.State = stateNames[e.cluster.currentState(now)]
	// A host is ready once the look-up responses that it serves name it.
	h.Ready = e.cluster.tracker.Ready(now) && e.cluster.publishedState != membership.Joining
	for name := range controllers {
		h.SlotsUsable[name] = e.cluster.tracker.Usable(name, now)
		h.SlotsInUse[name] = e.cluster.tracker.InUse(name)
	}
	return h
}
