package questionnaire

import (
	"fmt"
	"slices"
	"strings"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// maxRequestMs is the policy's default of host_list_max_lag_ms. A request of a crashed host must complete before
	// another host may use the slot of the request.
	maxRequestMs        = 10_000
	defaultMaxRequestMs = 5_000
	maxLookupTTLMs      = 300_000
	maxSlots            = 10_000
	maxConnections      = 100_000
	maxBackendServers   = 10_000
	// shareTolerance absorbs rounding errors in sums of shares such as 0.1 + 0.2.
	shareTolerance = 1e-9
)

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

var defaultLimits = [rank.Count]float64{1, 0.85, 0.6}

// answersFor returns the answers for a rank with the default limit filled in.
func (r Ranks) answersFor(which rank.Rank) Rank {
	answer := [rank.Count]Rank{r.Urgent, r.Interactive, r.Deferrable}[which]
	if answer.Limit == 0 {
		answer.Limit = defaultLimits[which]
	}
	return answer
}

func (c *checker) checkServices() {
	if len(c.answers.Services) == 0 {
		c.report("services", 0, "want at least one service")
	}
	for i := range c.answers.Services {
		s := &c.answers.Services[i]
		c.checkUniqueName(c.services, fmt.Sprintf("services[%d].name", i), s.Name)
		question := "services[" + s.Name + "]"
		c.checkName(question+".team", s.Team)
		c.checkSizes(question, s)
		c.checkShares(question+".ranks", s)
		c.checkPeaks(question+".ranks", s)
		c.checkRoutes(question, s)
	}
}

func (c *checker) checkSizes(question string, s *Service) {
	c.checkRange(question+".backend_servers", float64(s.BackendServers), 1, maxBackendServers)
	c.checkRange(question+".slots", float64(s.Slots), 1, maxSlots)
	c.checkRange(question+".connections", float64(s.Connections), 1, maxConnections)
	if s.Connections > 0 && s.Connections < s.Slots {
		c.report(question+".connections", s.Connections, "want at least the number of slots (%d)", s.Slots)
	}
	c.checkRange(question+".max_request_ms", float64(s.MaxRequestMs), 0, maxRequestMs)
	c.checkRange(question+".lookup_ttl_ms", float64(s.LookupTTLMs), 0, maxLookupTTLMs)
	c.checkRange(question+".hedge_after_ms", float64(s.HedgeAfterMs), 0, float64(s.maxRequestMsOrDefault()))
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		c.report(question+".health_path", s.HealthPath, "want a path that starts with /")
	}
}

func (s *Service) maxRequestMsOrDefault() int {
	if s.MaxRequestMs == 0 {
		return defaultMaxRequestMs
	}
	return s.MaxRequestMs
}

// checkShares checks limits and floors. The limit of a rank must not exceed that of a more urgent rank, and the floors must
// not reserve more than all slots in total.
func (c *checker) checkShares(question string, s *Service) {
	previous, sum := 1.0, 0.0
	for _, r := range rank.All() {
		answer := s.Ranks.answersFor(r)
		field := question + "." + r.String()
		limitOK := c.checkRange(field+".limit", answer.Limit, 0, 1)
		floorOK := c.checkRange(field+".floor", answer.Floor, 0, 1)
		if limitOK && floorOK && answer.Floor > answer.Limit {
			c.report(field+".floor", answer.Floor, "want at most the limit (%v)", answer.Limit)
		}
		if limitOK && answer.Limit > previous {
			c.report(field+".limit", answer.Limit, "want at most the limit of the next more urgent rank (%v)", previous)
		}
		if limitOK {
			previous = answer.Limit
		}
		if floorOK {
			sum += min(answer.Floor, answer.Limit)
		}
	}
	if sum > 1+shareTolerance {
		c.report(question+" floors", fmt.Sprintf("%.4g", sum), "want floors of all ranks that are 1 or less together")
	}
}

// checkPeaks compares the expected load with the slots: the load of a rank and all less urgent ranks must fit into the limit
// of the rank. By Little's law, the mean number of slots in use is the request rate per second times the mean time in
// seconds that a request holds a slot.
func (c *checker) checkPeaks(question string, s *Service) {
	total := float64(s.BackendServers * s.Slots)
	need := 0.0
	ranks := rank.All()
	slices.Reverse(ranks[:])
	for _, r := range ranks {
		answer := s.Ranks.answersFor(r)
		field := question + "." + r.String()
		if !c.checkPeak(field, s, answer) {
			continue
		}
		need += answer.PeakPerSecond * answer.MeanMs / 1000
		allowed := answer.Limit * total
		if answer.PeakPerSecond > 0 && total > 0 && need > allowed+shareTolerance {
			c.report(field+".peak_per_second", answer.PeakPerSecond,
				"this rank and less urgent ones need %.1f slots at their peak, want at most %.1f (limit %v of %v slots)",
				need, allowed, answer.Limit, total)
			// The checks of more urgent ranks include the load of this rank and would report the same problem again.
			return
		}
	}
}

func (c *checker) checkPeak(field string, s *Service, answer Rank) bool {
	if !(answer.PeakPerSecond >= 0) {
		c.report(field+".peak_per_second", answer.PeakPerSecond, "want 0 or more")
		return false
	}
	if !c.checkRange(field+".mean_ms", answer.MeanMs, 0, float64(s.maxRequestMsOrDefault())) {
		return false
	}
	if (answer.PeakPerSecond > 0) != (answer.MeanMs > 0) {
		c.report(field, fmt.Sprintf("peak_per_second %v, mean_ms %v", answer.PeakPerSecond, answer.MeanMs),
			"want both above 0, or neither")
		return false
	}
	return true
}

func (c *checker) checkRoutes(question string, s *Service) {
	if len(s.Routes) == 0 {
		c.report(question+".routes", 0, "want at least one route")
	}
	for i, r := range s.Routes {
		field := fmt.Sprintf("%s.routes[%d]", question, i)
		if !slices.Contains(methods, r.Method) {
			c.report(field+".method", r.Method, "want GET, HEAD, POST, PUT, PATCH, DELETE, or nothing for all methods")
		}
		if !strings.HasPrefix(r.Path, "/") {
			c.report(field+".path", r.Path, "want a path that starts with /")
		}
		c.checkRank(field+".rank", r.Rank)
		c.checkReachable(field, s.Routes[:i], r)
	}
}

// checkReachable reports a route that never applies because an earlier route matches all of its requests.
func (c *checker) checkReachable(field string, earlier []Route, r Route) {
	for i, e := range earlier {
		if (e.Method == "" || e.Method == r.Method) && e.Path != "" && strings.HasPrefix(r.Path, e.Path) {
			c.report(field, strings.TrimSpace(r.Method+" "+r.Path), "want it before route %d (%s), which matches first", i, strings.TrimSpace(e.Method+" "+e.Path))
			return
		}
	}
}
