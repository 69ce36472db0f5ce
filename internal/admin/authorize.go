package admin

import (
	"slices"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// authorize checks that an operator may make a change. It removes everything that the operator's team owns from both
// documents and requires the remainders to be equal. A part of the policy that withoutTeam doesn't handle, such as a newly
// added one, can therefore be changed only by operators of all teams.
func authorize(operator *policy.Operator, previous, next *policy.Document) *result.Failure {
	if operator.Team == AllTeams {
		return nil
	}
	notOwned := policy.Diff(withoutTeam(previous, operator.Team), withoutTeam(next, operator.Team))
	if len(notOwned) == 0 {
		return nil
	}
	return result.Fail(result.OtherTeam, "operator %s of team %q may not change %s", operator.Name, operator.Team, notOwned[0])
}

// withoutTeam returns a copy of a document without the services of a team and their backend servers, shifts and drains. A
// service whose team changes remains in one of the two compared documents, so only an operator of all teams can make this
// change.
func withoutTeam(doc *policy.Document, team string) *policy.Document {
	ownService := map[string]bool{}
	for _, s := range doc.Services {
		ownService[s.Name] = s.Team == team
	}
	ownBackendServer := map[string]bool{}
	for _, b := range doc.BackendServers {
		ownBackendServer[b.ID] = ownService[b.Service]
	}
	reduced := *doc
	reduced.Services = cloneWithout(doc.Services, func(s policy.Service) bool { return ownService[s.Name] })
	reduced.BackendServers = cloneWithout(doc.BackendServers, func(b policy.BackendServer) bool { return ownService[b.Service] })
	reduced.Shifts = cloneWithout(doc.Shifts, func(s policy.Shift) bool { return ownService[s.Service] })
	reduced.DrainedBackendServers = cloneWithout(doc.DrainedBackendServers, func(id string) bool { return ownBackendServer[id] })
	return &reduced
}

// cloneWithout returns a copy of a list without the elements for which drop returns true.
func cloneWithout[T any](list []T, drop func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), drop)
}
