package admin

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// maxEditAttempts limits how often an edit is applied, counting the repetitions after a version conflict.
	maxEditAttempts = 3
	// policyWaitTimeout limits the wait for the policy that caused a version conflict. An accepted policy is in force
	// within 3 s.
	policyWaitTimeout = 4 * time.Second
	// policyPollInterval is the time between two checks for that policy.
	policyPollInterval = 20 * time.Millisecond
)

// editFunc changes a copy of the accepted document in place. It returns a failure if the edit isn't valid for it.
type editFunc func(doc *policy.Document) *result.Failure

// applyEdit edits the accepted document and applies the result. After a version conflict it waits for the newly accepted
// policy and applies the edit to that one with the same change id, up to maxEditAttempts times in all. A request that has a
// base version is attempted only once.
func (a *API) applyEdit(req request, edit editFunc) (*CommandResult, *result.Failure) {
	for attempt := 1; ; attempt++ {
		snapshot, operator, failure := a.authenticateCommand(req)
		if failure != nil {
			return nil, failure
		}
		if res := a.repeatedResult(req.Context(), req.changeID); res != nil {
			return res, nil
		}
		res, failure := a.attemptEdit(req, snapshot, operator, edit)
		retry := failure != nil && failure.Code == result.VersionConflict && !req.hasBase && attempt < maxEditAttempts
		if !retry || !a.waitForPolicyAbove(req.Context(), snapshot.Version) {
			return res, failure
		}
	}
}

// attemptEdit applies an edit to one version of the policy.
func (a *API) attemptEdit(req request, snapshot *policy.Snapshot, operator *policy.Operator, edit editFunc) (*CommandResult, *result.Failure) {
	if req.hasBase && req.base != snapshot.Version {
		return nil, versionConflict(req.base, snapshot)
	}
	next := copyForEdit(snapshot.Document)
	if failure := edit(next); failure != nil {
		return nil, failure
	}
	p, failure := a.prepareChange(req, operator, snapshot.Version, snapshot.Document, next)
	if failure != nil {
		return nil, failure
	}
	return a.applyPrepared(req, p)
}

// copyForEdit copies a document with the lists that edits and policy.FillDefaults write to. The blocks are shared with the
// original.
func copyForEdit(doc *policy.Document) *policy.Document {
	next := *doc
	next.Regions = slices.Clone(doc.Regions)
	next.Services = slices.Clone(doc.Services)
	next.BackendServers = slices.Clone(doc.BackendServers)
	next.Hosts = slices.Clone(doc.Hosts)
	next.Sites = slices.Clone(doc.Sites)
	next.Shifts = slices.Clone(doc.Shifts)
	next.DrainedBackendServers = slices.Clone(doc.DrainedBackendServers)
	return &next
}

// waitForPolicyAbove waits until this process has received a policy with a higher version than the given one. It returns
// false if the context or policyWaitTimeout expires first.
func (a *API) waitForPolicyAbove(ctx context.Context, version policy.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, policyWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(policyPollInterval)
	defer ticker.Stop()
	for {
		if s := a.Configuration.Snapshot(); s != nil && s.Version > version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
