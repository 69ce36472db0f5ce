package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// registerExplain adds the placement query to the administration router if the settings have tokens of operators.
func (g *Gateway) registerExplain(router *mux.Router) {
	if hashes := g.settings.OperatorTokenHashes; len(hashes) > 0 {
		router.Handle(admin.QueryPath+admin.PlacementQueryName, admin.PlacementHandler(g.self.ID, hashes, g.explainPlacement)).Methods(http.MethodGet)
	}
}

// explainPlacement returns where a request would be sent now and why. It changes no state that decisions depend on. The failure is that of
// the query; a request that would be rejected has an explanation.
func (g *Gateway) explainPlacement(q admin.PlacementQuery) (*admin.PlacementExplanation, *result.Failure) {
	now := time.Now()
	req := &request{
		g: g, view: g.follower.View(), arrived: now, info: RequestInfo{ID: uuid.NewString(), Object: q.Object, CallerTimeout: q.CallerTimeout},
	}
	out := &admin.PlacementExplanation{
		Host: g.self.ID, FailureDomain: g.self.FailureDomain, Region: g.self.Region, Revision: uint64(req.view.Revision), Servers: []admin.PlacementServer{},
	}
	failure, queryFailure := req.explainRoute(q, out)
	if queryFailure != nil {
		return nil, queryFailure
	}
	if failure == nil {
		failure = req.explainChoice(out, now)
	}
	if failure != nil {
		out.Rejection = req.explainRejection(failure, now)
	}
	return out, nil
}

// explainRoute sets the route, the customer and the deadlines of the request, in the order of prepare. It returns the failure of the request
// and that of the query.
func (req *request) explainRoute(q admin.PlacementQuery, out *admin.PlacementExplanation) (failure, queryFailure *result.Failure) {
	c := req.view.Configuration
	if c == nil {
		return result.Fail(result.NotReady, "no configuration is known yet"), nil
	}
	out.ConfigurationVersion = uint64(c.Version)
	if q.Customer != "" {
		customer := c.Customers[q.Customer]
		if customer == nil {
			return nil, result.Fail(result.BadRequest, "configuration %d has no customer %q", c.Version, q.Customer)
		}
		req.customer = customer
		out.Customer = &admin.PlacementCustomer{Name: customer.Name, RatePerSecond: customer.RatePerSecond, Burst: customer.Burst, Homes: customer.Homes}
	}
	if failure := req.findRoute(c, q.HostName, q.Path); failure != nil {
		return failure, nil
	}
	route := req.route
	out.Route = &admin.PlacementRoute{
		Name: route.Name, HostName: route.HostName, Prefix: route.Prefix, SLOMs: route.SLO.Milliseconds(), TimeoutMs: route.Timeout.Milliseconds(),
		Homes: route.Homes, Targets: map[string]int{},
	}
	for _, target := range route.Targets {
		out.Route.Targets[target.Service] = target.Weight
	}
	out.Rank = req.rank()
	for _, region := range req.g.settings.FailureDomains {
		if route.AllowedIn(region, req.customer) && !slices.Contains(out.Regions, region) {
			out.Regions = append(out.Regions, region)
		}
	}
	slices.Sort(out.Regions)
	switch {
	case route.Unusable != "":
		return result.Fail(result.RouteUnusable, "route %q: %s", route.Name, route.Unusable), nil
	case req.customer == nil:
		return req.authenticate(c), nil
	}
	return nil, nil
}

// explainChoice sets the service and the servers.
func (req *request) explainChoice(out *admin.PlacementExplanation, now time.Time) *result.Failure {
	if failure := req.checkStop(); failure != nil {
		return failure
	}
	var explainer *placement.Explainer
	req.g.withTable(func(t *placement.Table) {
		req.target = t.NextService(req.route, req.view.Configuration.Version)
		explainer = t.Explainer(req.placementRequest(), now)
	})
	explanation := explainer.Explain()
	d := &explanation.Decision
	req.latestDecision = *d
	out.Service, out.Reason, out.Usable = req.target, string(d.Reason), d.Usable
	out.PlacedByObject = req.route.Sticky && req.info.Object != ""
	out.KeepsRegion, out.Omitted, out.OtherRegions = explanation.KeepsRegion, explanation.Omitted, explanation.OtherRegions
	for i := range explanation.Servers {
		out.Servers = append(out.Servers, placementServer(&explanation.Servers[i]))
	}
	if d.Server == nil {
		return result.Fail(rejectionCode(d.Reason), "%s: %s", req.target, d.Reason)
	}
	return nil
}

func placementServer(s *placement.ExplainedServer) admin.PlacementServer {
	out := admin.PlacementServer{
		ID: s.Entry.ID, Region: s.Region, FailureDomain: s.Entry.FailureDomain, Chosen: s.Chosen, Candidate: s.Candidate,
		ExpectedMs: s.ExpectedLatency.Milliseconds(), RoundTripMs: s.RoundTrip.Milliseconds(), Load: s.Load, Slots: s.Entry.Slots, LoadAgeMs: s.LoadAge.Milliseconds(),
		Speed: s.Speed, Warm: s.Warm, RateLimit: s.RateLimit, RateShare: s.RateShare, Reason: s.Reason,
	}
	for _, state := range s.States {
		out.States = append(out.States, string(state))
	}
	return out
}

// explainRejection returns the response to a request that fails.
func (req *request) explainRejection(failure *result.Failure, now time.Time) *admin.PlacementRejection {
	description := failure.Code.Describe()
	out := &admin.PlacementRejection{Code: failure.Code, Name: description.Name, Status: description.Status, Message: failure.Message}
	if !statesRetryAfter(failure) {
		return out
	}
	rank, remaining := req.rankAndRemaining(now)
	shortest, longest := placement.RetryAfterRange(rank, remaining, failure.Code == result.HostLeaving, req.latestDecision.AvailableIn)
	if failure.Code == result.NotReady {
		shortest, longest = placement.StartRetryAfterRange(remaining)
	}
	out.RetryAfterMs, out.LongestRetryAfterMs = shortest.Milliseconds(), longest.Milliseconds()
	return out
}
