package admin

import (
	"net/http"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// HostsResponse lists the entry hosts in the view of this process.
type HostsResponse struct {
	Hosts []HostStatus `json:"hosts"`
}

// SlotsResponse lists the slots of the host that sends the response.
type SlotsResponse struct {
	Slots []SlotStatus `json:"slots"`
}

// BackendServersResponse lists the backend servers in the view of the host that sends the response.
type BackendServersResponse struct {
	BackendServers []BackendServerStatus `json:"backend_servers"`
}

func (a *API) hosts(w http.ResponseWriter, _ *http.Request, _ *policy.Snapshot) *result.Failure {
	writeJSON(w, http.StatusOK, HostsResponse{Hosts: a.Status.Hosts()})
	return nil
}

func (a *API) slots(w http.ResponseWriter, _ *http.Request, _ *policy.Snapshot) *result.Failure {
	writeJSON(w, http.StatusOK, SlotsResponse{Slots: a.Status.Slots()})
	return nil
}

func (a *API) backendServers(w http.ResponseWriter, _ *http.Request, _ *policy.Snapshot) *result.Failure {
	writeJSON(w, http.StatusOK, BackendServersResponse{BackendServers: a.Status.BackendServers()})
	return nil
}
