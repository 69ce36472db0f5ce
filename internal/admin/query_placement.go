package admin

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// PlacementQueryName is the name of the query that explains the placement of a request on the operators' platform.
const PlacementQueryName = "placement"

// PlacementQuery describes the request whose placement is explained.
type PlacementQuery struct {
	// HostName is the host name of the request, Path its escaped path.
	HostName, Path string
	// Customer is the name of the customer on whose behalf the request is made, empty if there is none.
	Customer string
	// Object is the key of the object that the request concerns, or empty.
	Object string
	// CallerTimeout is the time for which the caller waits, zero if it states none.
	CallerTimeout time.Duration
}

// Parameters of the URL of a placement query.
const (
	paramHostName        = "host_name"
	paramPath            = "path"
	paramCustomer        = "customer"
	paramObject          = "object"
	paramCallerTimeoutMs = "caller_timeout_ms"
)

// Values returns the query as parameters of a URL.
func (q *PlacementQuery) Values() url.Values {
	values := url.Values{paramHostName: {q.HostName}, paramPath: {q.Path}}
	for name, value := range map[string]string{paramCustomer: q.Customer, paramObject: q.Object} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if q.CallerTimeout > 0 {
		values.Set(paramCallerTimeoutMs, strconv.FormatInt(q.CallerTimeout.Milliseconds(), 10))
	}
	return values
}

func parsePlacementQuery(values url.Values) (PlacementQuery, *result.Failure) {
	q := PlacementQuery{HostName: values.Get(paramHostName), Customer: values.Get(paramCustomer), Object: values.Get(paramObject)}
	if q.HostName == "" {
		return q, result.Fail(result.BadRequest, "%s is missing", paramHostName)
	}
	target, err := url.ParseRequestURI(values.Get(paramPath))
	if err != nil || target.Host != "" {
		return q, result.Fail(result.BadRequest, "%s %q is not the path of a URL", paramPath, values.Get(paramPath))
	}
	q.Path = target.EscapedPath()
	if text := values.Get(paramCallerTimeoutMs); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return q, result.Fail(result.BadRequest, "%s %q is not a number of milliseconds from 1", paramCallerTimeoutMs, text)
		}
		q.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	return q, nil
}

// PlacementExplanation is the response to a placement query: where the host would send the request now, and why.
type PlacementExplanation struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// ConfigurationVersion and Revision are those of the view that the host decides from.
	ConfigurationVersion uint64 `json:"configuration_version"`
	Revision             uint64 `json:"revision"`
	// Route is nil if the request has none.
	Route    *PlacementRoute    `json:"route,omitempty"`
	Customer *PlacementCustomer `json:"customer,omitempty"`
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int `json:"rank"`
	// Regions lists the regions in which route and customer allow the request.
	Regions []string `json:"regions,omitempty"`
	// Service is the service that the next request of the route goes to.
	Service string `json:"service,omitempty"`
	// PlacedByObject is true if requests for the same object have the same candidates. Otherwise each request has others.
	PlacedByObject bool `json:"placed_by_object"`
	// KeepsRegion is true if requests for the service stay in the region of the host.
	KeepsRegion bool `json:"keeps_region"`
	// Reason is the reason of the placement or the rejection by placement, empty if the request is rejected before.
	Reason string `json:"reason,omitempty"`
	// Rejection is nil if the request would be sent.
	Rejection *PlacementRejection `json:"rejection,omitempty"`
	// Usable is the number of servers that are eligible.
	Usable int `json:"usable"`
	// Servers lists servers of the regions that are allowed: the chosen one, then other candidates, then others.
	Servers []PlacementServer `json:"servers"`
	// Omitted is the number of further servers of these regions, OtherRegions that of servers in other regions.
	Omitted      int `json:"omitted"`
	OtherRegions int `json:"other_regions"`
}

// PlacementRoute is the route of a request.
type PlacementRoute struct {
	Name      string `json:"name"`
	HostName  string `json:"host_name"`
	Prefix    string `json:"prefix"`
	SLOMs     int64  `json:"slo_ms"`
	TimeoutMs int64  `json:"timeout_ms"`
	// Homes lists the home regions of the route; empty means all regions.
	Homes []string `json:"homes,omitempty"`
	// Targets maps the services of the route to their weights.
	Targets map[string]int `json:"targets"`
}

// PlacementCustomer is the customer on whose behalf a request is made.
type PlacementCustomer struct {
	Name string `json:"name"`
	// RatePerSecond and Burst are the usage cap over all hosts in requests; a rate of zero means none.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Homes lists the home regions of the customer; empty means all regions.
	Homes []string `json:"homes,omitempty"`
}

// PlacementRejection is the response that the caller of a request would get from the host.
type PlacementRejection struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Status  int         `json:"status"`
	Message string      `json:"message"`
	// RetryAfterMs and LongestRetryAfterMs are the range of the Retry-After in milliseconds; zero if there is none.
	RetryAfterMs        int64 `json:"retry_after_ms,omitempty"`
	LongestRetryAfterMs int64 `json:"longest_retry_after_ms,omitempty"`
}

// PlacementServer is what the host knows of a backend server, and why it was not chosen.
type PlacementServer struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Chosen        bool   `json:"chosen"`
	Candidate     bool   `json:"candidate"`
	// ExpectedMs is the expected time until the response, RoundTripMs the part of the network.
	ExpectedMs  int64 `json:"expected_ms"`
	RoundTripMs int64 `json:"round_trip_ms"`
	// Load is the estimated number of requests at the server. LoadAgeMs is the age of its load report, negative if there is none.
	Load      float64 `json:"load"`
	Slots     int     `json:"slots"`
	LoadAgeMs int64   `json:"load_age_ms"`
	// Speed is the time that work takes on the server's machine, where 1 is normal.
	Speed float64 `json:"speed"`
	Warm  bool    `json:"warm"`
	// States lists draining, evacuated, leaving, unavailable, limited, ejected and cold where they apply.
	States []string `json:"states,omitempty"`
	// RateLimit is the limit that the server names, RateShare this host's share, in requests per second.
	RateLimit float64 `json:"rate_limit,omitempty"`
	RateShare float64 `json:"rate_share,omitempty"`
	// Reason states why the server was not chosen.
	Reason string `json:"reason,omitempty"`
}

// PlacementHandler returns the handler of placement queries of a host. The bearer token of a request has to have one of the hashes.
func PlacementHandler(hostID string, tokenHashes []string, explain func(PlacementQuery) (*PlacementExplanation, *result.Failure)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderHost, hostID)
		token := bearerToken(r)
		// Hashes are compared, so the time of the comparison tells nothing about a token.
		if token == "" || !slices.Contains(tokenHashes, policy.HashToken(token)) {
			writeFailure(w, result.Fail(result.Unauthenticated, "the request has no bearer token of an operator of this host"))
			return
		}
		query, failure := parsePlacementQuery(r.URL.Query())
		if failure != nil {
			writeFailure(w, failure)
			return
		}
		explanation, failure := explain(query)
		if failure != nil {
			writeFailure(w, failure)
			return
		}
		writeJSON(w, http.StatusOK, explanation)
	})
}
