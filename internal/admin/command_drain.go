package admin

import (
	"slices"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// DrainBody is the body of the commands drain and undrain.
type DrainBody struct {
	BackendServer string `json:"backend_server"`
}

func (a *API) drain(req request) (*CommandResult, *result.Failure) {
	return a.changeDrain(req, func(doc *policy.Document, id string) {
		if !slices.Contains(doc.DrainedBackendServers, id) {
			doc.DrainedBackendServers = append(doc.DrainedBackendServers, id)
		}
	})
}

func (a *API) undrain(req request) (*CommandResult, *result.Failure) {
	return a.changeDrain(req, func(doc *policy.Document, id string) {
		doc.DrainedBackendServers = slices.DeleteFunc(doc.DrainedBackendServers, func(d string) bool { return d == id })
	})
}

// changeDrain applies an edit of the list of drained backend servers. The edit receives the document and the id of the
// backend server in the request, which must be configured.
func (a *API) changeDrain(req request, edit func(*policy.Document, string)) (*CommandResult, *result.Failure) {
	var body DrainBody
	if failure := req.decodeJSON(&body); failure != nil {
		return nil, failure
	}
	return a.applyEdit(req, func(doc *policy.Document) *result.Failure {
		matches := func(b policy.BackendServer) bool { return b.ID == body.BackendServer }
		if !slices.ContainsFunc(doc.BackendServers, matches) {
			return result.Fail(result.UnknownObject, "no backend server %q is configured", body.BackendServer)
		}
		edit(doc, body.BackendServer)
		return nil
	})
}
