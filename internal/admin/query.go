package admin

import (
	"net/http"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// queryHandler returns the HTTP handler of a query. All operators may run queries. Without a policy no operator is known, so
// all queries fail.
func (a *API) queryHandler(handle func(http.ResponseWriter, *http.Request, *policy.Snapshot) *result.Failure) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderHost, a.HostID)
		snapshot := a.Configuration.Snapshot()
		if snapshot == nil {
			writeFailure(w, result.Fail(result.NoPolicy, "this entry host knows no accepted policy"))
			return
		}
		if _, failure := authenticate(r, snapshot); failure != nil {
			writeFailure(w, failure)
			return
		}
		if failure := handle(w, r, snapshot); failure != nil {
			writeFailure(w, failure)
		}
	}
}
