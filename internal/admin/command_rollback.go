package admin

import (
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// RollbackBody is the body of the rollback command.
type RollbackBody struct {
	// To is the earlier version whose document becomes the accepted one again, as a new version.
	To policy.Version `json:"to"`
}

func (a *API) rollback(req request) (*CommandResult, *result.Failure) {
	var body RollbackBody
	if failure := req.decodeJSON(&body); failure != nil {
		return nil, failure
	}
	snapshot, operator, failure := a.authenticateCommand(req)
	if failure != nil {
		return nil, failure
	}
	if res := a.repeatedResult(req.Context(), req.changeID); res != nil {
		return res, nil
	}
	if !req.hasBase {
		req.base = snapshot.Version
	}
	previous, failure := a.baseDocument(req.Context(), snapshot, req.base)
	if failure != nil {
		return nil, failure
	}
	next, err := a.Configuration.Load(req.Context(), body.To)
	if err != nil {
		return nil, asFailure(err)
	}
	p, failure := a.prepareChange(req, operator, req.base, previous, next)
	if failure != nil {
		return nil, failure
	}
	return a.executePrepared(req, p, func() (config.Accepted, error) {
		return a.Configuration.Rollback(req.Context(), body.To, p.change)
	})
}

// authenticateCommand returns the accepted policy and the authenticated operator of a command. It fails if this process
// knows no accepted policy.
func (a *API) authenticateCommand(req request) (*policy.Snapshot, *policy.Operator, *result.Failure) {
	snapshot := a.Configuration.Snapshot()
	if snapshot == nil {
		return nil, nil, result.Fail(result.NoPolicy, "this entry host knows no accepted policy")
	}
	operator, failure := authenticate(req.Request, snapshot)
	return snapshot, operator, failure
}
