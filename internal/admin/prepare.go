package admin

import (
	"context"
	"slices"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// maxRecentChangeIDs is the number of change ids that a head keeps. A repeated change is recognized only if it is among
// them.
const maxRecentChangeIDs = 128

// preparedChange is a change that has passed the checks of this process.
type preparedChange struct {
	change      config.Change
	differences []policy.Difference
}

// prepareChange validates and authorizes a change from one document to another and computes the differences. previous is
// nil for the first policy.
func (a *API) prepareChange(req request, operator *policy.Operator, base policy.Version, previous, next *policy.Document) (*preparedChange, *result.Failure) {
	if failure := a.validate(previous, next); failure != nil {
		return nil, failure
	}
	if previous != nil {
		if failure := authorize(operator, previous, next); failure != nil {
			return nil, failure
		}
	}
	return &preparedChange{
		change: config.Change{
			ID:       req.changeID,
			Operator: operator.Name,
			Reason:   req.reason,
			Base:     base,
			Document: next,
		},
		differences: policy.Diff(previous, next),
	}, nil
}

// validate runs the checks that each entry host runs when it loads a policy, so that no policy is accepted that hosts can't
// use. It also requires an operator of all teams.
func (a *API) validate(previous, next *policy.Document) *result.Failure {
	snapshot, err := policy.Compile(next, 0, "")
	if err != nil {
		return asFailure(err)
	}
	if err := policy.ValidateChange(previous, next); err != nil {
		return asFailure(err)
	}
	if !slices.ContainsFunc(next.Operators, func(o policy.Operator) bool { return o.Team == AllTeams }) {
		return result.Fail(result.InvalidPolicy, "operators: want at least one of team %q, or nobody could change the shared parts any more", AllTeams)
	}
	if len(next.Blocks) > 0 {
		if _, err := lookup.Compile(snapshot, a.FailureDomain); err != nil {
			return result.Fail(result.InvalidPolicy, "%v", err)
		}
	}
	return nil
}

// dryRunResult returns the result of a dry run of the change.
func (p *preparedChange) dryRunResult() *CommandResult {
	return &CommandResult{
		Accepted:    config.Accepted{ChangeID: p.change.ID},
		BaseVersion: p.change.Base,
		DryRun:      true,
		Changes:     p.differences,
	}
}

// acceptedResult returns the result of the accepted change.
func (p *preparedChange) acceptedResult(accepted config.Accepted) *CommandResult {
	return &CommandResult{Accepted: accepted, BaseVersion: p.change.Base, Changes: p.differences}
}

// unchangedResult returns the result of a change without differences, or nil if there are differences. Such a change is not
// an error, since a command may be repeated. It creates no version, which would only take up space in the history.
func (p *preparedChange) unchangedResult() *CommandResult {
	if len(p.differences) > 0 {
		return nil
	}
	accepted := config.Accepted{Version: p.change.Base, ChangeID: p.change.ID}
	return &CommandResult{Accepted: accepted, BaseVersion: p.change.Base, Unchanged: true}
}

// repeatedResult returns the result of a change whose id has already been accepted, or nil. Operators send a change again
// with the same id if the first response was lost.
func (a *API) repeatedResult(ctx context.Context, changeID string) *CommandResult {
	if !slices.Contains(a.Configuration.Head().RecentChangeIDs, changeID) {
		return nil
	}
	accepted := config.Accepted{ChangeID: changeID, AlreadyAccepted: true}
	// If the store is unavailable the version stays 0; the change has been accepted nonetheless.
	heads, _ := a.Configuration.History(ctx, maxRecentChangeIDs)
	for _, h := range heads {
		if h.ChangeID == changeID {
			accepted.Version = h.Version
		}
	}
	return &CommandResult{Accepted: accepted}
}
