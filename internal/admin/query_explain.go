package admin

import (
	"net/http"
	"net/netip"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// explain handles the explain query: it reports which hosts a lookup at this entry host returns for a client, and why.
func (a *API) explain(w http.ResponseWriter, r *http.Request, _ *policy.Snapshot) *result.Failure {
	query := r.URL.Query()
	client, err := netip.ParseAddr(query.Get("client"))
	if err != nil {
		return result.Fail(result.BadClientAddress, "client %q is not an IP address", query.Get("client"))
	}
	explanation, failure := a.Lookup.Explain(query.Get("service"), client, a.View, a.Now())
	if failure != nil {
		return failure
	}
	writeJSON(w, http.StatusOK, explanation)
	return nil
}
