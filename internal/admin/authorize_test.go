package admin

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// mutation is one change of a document. onlyOwnParts is true if it affects only parts that team spares owns.
type mutation struct {
	name         string
	onlyOwnParts bool
	apply        func(*policy.Document)
}

func twoTeamDocument() *policy.Document {
	return &policy.Document{
		Deployment:     "test",
		Regions:        []policy.Region{{Name: "north", MaxShiftShare: 0.5}, {Name: "south", MaxShiftShare: 0.5}},
		Services:       []policy.Service{{Name: "catalogue", Team: "spares"}, {Name: "payment", Team: "orders"}},
		BackendServers: []policy.BackendServer{{ID: "b1", Service: "catalogue", Slots: 3}, {ID: "b2", Service: "payment", Slots: 3}},
		Hosts:          []policy.Host{{ID: "h1"}},
		Callers:        []policy.Caller{{ID: "c1"}},
		Operators:      []policy.Operator{{Name: "platform", Team: "*"}},
		Blocks:         []policy.Block{{Sites: []string{"north-1"}}},
	}
}

var mutations = []mutation{
	{"own limit", true, func(d *policy.Document) { d.Services[0].Ranks.Deferrable.Limit = 0.1 }},
	{"own route", true, func(d *policy.Document) { d.Services[0].Routes = []policy.Route{{PathPrefix: "/x"}} }},
	{"own slots", true, func(d *policy.Document) { d.BackendServers[0].Slots = 9 }},
	{"own shift", true, func(d *policy.Document) { d.Shifts = append(d.Shifts, policy.Shift{ID: "s1", Service: "catalogue"}) }},
	{"own drain", true, func(d *policy.Document) { d.DrainedBackendServers = append(d.DrainedBackendServers, "b1") }},
	{"own new server", true, func(d *policy.Document) {
		d.BackendServers = append(d.BackendServers, policy.BackendServer{ID: "b3", Service: "catalogue"})
	}},
	{"own new service", true, func(d *policy.Document) {
		d.Services = append(d.Services, policy.Service{Name: "returns", Team: "spares"})
	}},
	{"other limit", false, func(d *policy.Document) { d.Services[1].Ranks.Urgent.Limit = 0.1 }},
	{"other slots", false, func(d *policy.Document) { d.BackendServers[1].Slots = 9 }},
	{"other shift", false, func(d *policy.Document) { d.Shifts = append(d.Shifts, policy.Shift{ID: "s2", Service: "payment"}) }},
	{"other drain", false, func(d *policy.Document) { d.DrainedBackendServers = append(d.DrainedBackendServers, "b2") }},
	{"other new service", false, func(d *policy.Document) {
		d.Services = append(d.Services, policy.Service{Name: "stock", Team: "orders"})
	}},
	{"server moved from other team", false, func(d *policy.Document) { d.BackendServers[1].Service = "catalogue" }},
	{"server moved to other team", false, func(d *policy.Document) { d.BackendServers[0].Service = "payment" }},
	{"service moved from other team", false, func(d *policy.Document) { d.Services[1].Team = "spares" }},
	{"service moved to other team", false, func(d *policy.Document) { d.Services[0].Team = "orders" }},
	{"region", false, func(d *policy.Document) { d.Regions[0].MaxShiftShare = 1 }},
	{"host", false, func(d *policy.Document) { d.Hosts[0].Retired = true }},
	{"caller", false, func(d *policy.Document) { d.Callers[0].TokenSHA256 = "x" }},
	{"operator", false, func(d *policy.Document) {
		d.Operators = append(d.Operators, policy.Operator{Name: "me", Team: "*"})
	}},
	{"timing", false, func(d *policy.Document) { d.Timing.PauseLimitMs = 1 }},
	{"block", false, func(d *policy.Document) { d.Blocks[0].Sites = []string{"south-1"} }},
	{"deployment", false, func(d *policy.Document) { d.Deployment = "other" }},
}

// Guards against an operator of one team changing parts that another team or the whole deployment depends on, either alone
// or together with changes to the team's own parts, and against rejecting changes to only the team's own parts.
func TestAuthorizeAllowsOnlyChangesToOwnParts(t *testing.T) {
	teamOperator := &policy.Operator{Name: "spares-duty", Team: "spares"}
	allTeamsOperator := &policy.Operator{Name: "platform", Team: AllTeams}
	rapid.Check(t, func(t *rapid.T) {
		previous, next := twoTeamDocument(), twoTeamDocument()
		chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(mutations), 1, 4, func(m mutation) string { return m.name }).Draw(t, "mutations")
		onlyOwnParts := true
		for _, m := range chosen {
			m.apply(next)
			onlyOwnParts = onlyOwnParts && m.onlyOwnParts
		}
		failure := authorize(teamOperator, previous, next)
		if onlyOwnParts != (failure == nil) {
			t.Fatalf("all changes affect only the team's own parts: %v, got failure %v", onlyOwnParts, failure)
		}
		if failure != nil && failure.Code != result.OtherTeam {
			t.Fatalf("got %v, want OtherTeam", failure)
		}
		if failure := authorize(allTeamsOperator, previous, next); failure != nil {
			t.Fatalf("the change of an operator of all teams was rejected: %v", failure)
		}
	})
}
