package admin

import (
	"context"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// apply handles the apply command: it makes the document in the request body the accepted policy.
func (a *API) apply(req request) (*CommandResult, *result.Failure) {
	if !req.hasBase {
		return nil, result.Fail(result.BadRequest, "header %s is missing; want the version that the change was made on, or 0 for the first policy", HeaderBaseVersion)
	}
	snapshot := a.Configuration.Snapshot()
	if snapshot == nil {
		return a.applyFirst(req)
	}
	operator, failure := authenticate(req.Request, snapshot)
	if failure != nil {
		return nil, failure
	}
	next, err := policy.Decode(req.body)
	if err != nil {
		return nil, result.Fail(result.InvalidPolicy, "%v", err)
	}
	if res := a.repeatedResult(req.Context(), req.changeID); res != nil {
		return res, nil
	}
	previous, failure := a.baseDocument(req.Context(), snapshot, req.base)
	if failure != nil {
		return nil, failure
	}
	p, failure := a.prepareChange(req, operator, req.base, previous, next)
	if failure != nil {
		return nil, failure
	}
	return a.applyPrepared(req, p)
}

// applyFirst applies the first policy. It is called if this process knows no accepted policy. If the store already holds
// one that this process hasn't received yet, the compare-and-swap with base version 0 fails in the store.
func (a *API) applyFirst(req request) (*CommandResult, *result.Failure) {
	if req.base != 0 {
		return nil, result.Fail(result.NotReady, "base version is %d, but this entry host has no configuration", req.base)
	}
	next, err := policy.Decode(req.body)
	if err != nil {
		return nil, result.Fail(result.InvalidPolicy, "%v", err)
	}
	operator, failure := authenticateFirstApply(req.Request, next)
	if failure != nil {
		return nil, failure
	}
	p, failure := a.prepareChange(req, operator, 0, nil, next)
	if failure != nil {
		return nil, failure
	}
	return a.applyPrepared(req, p)
}

// baseDocument returns the document that a change is based on. Only the accepted version is a valid base; the
// compare-and-swap in the store enforces this. A base above the version that this process knows is loaded from the store,
// because the state of this process may be stale.
func (a *API) baseDocument(ctx context.Context, snapshot *policy.Snapshot, base policy.Version) (*policy.Document, *result.Failure) {
	switch {
	case base == snapshot.Version:
		return snapshot.Document, nil
	case base < snapshot.Version:
		return nil, versionConflict(base, snapshot)
	}
	doc, err := a.Configuration.Load(ctx, base)
	if err != nil {
		return nil, asFailure(err)
	}
	policy.FillDefaults(doc)
	return doc, nil
}

// versionConflict returns the failure of a change whose base isn't the accepted version.
func versionConflict(base policy.Version, snapshot *policy.Snapshot) *result.Failure {
	return result.Fail(result.VersionConflict, "the change was made on version %d, but version %d is accepted (change id %s)",
		base, snapshot.Version, snapshot.ChangeID)
}

// applyPrepared applies a prepared change, or only reports its differences on a dry run.
func (a *API) applyPrepared(req request, p *preparedChange) (*CommandResult, *result.Failure) {
	return a.executePrepared(req, p, func() (config.Accepted, error) {
		return a.Configuration.Apply(req.Context(), p.change)
	})
}

// executePrepared calls apply for a prepared change, unless the change has no differences or is a dry run.
func (a *API) executePrepared(req request, p *preparedChange, apply func() (config.Accepted, error)) (*CommandResult, *result.Failure) {
	if res := p.unchangedResult(); res != nil {
		return res, nil
	}
	if req.dryRun {
		return p.dryRunResult(), nil
	}
	accepted, err := apply()
	if err != nil {
		return nil, asFailure(err)
	}
	return p.acceptedResult(accepted), nil
}
