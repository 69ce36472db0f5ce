package gateway

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// refusal is the reason why a request is rejected because of its customer. It is a field of log lines and a tag of counters.
type refusal string

// Refusals of requests without a customer that the route needs.
const (
	notRefused        refusal = ""
	refusalMissingKey refusal = "missing_key"
	refusalUnknownKey refusal = "unknown_key"
	// refusalIncomplete and refusalOutdated are those of keys that may be valid: the configuration has a customer or key that cannot be
	// decoded, or a later configuration may be in force.
	refusalIncomplete refusal = "configuration_incomplete"
	refusalOutdated   refusal = "configuration_outdated"
)

// authenticate returns the customer that the key of a request identifies, or nil, and the reason why a request of the route is refused.
func authenticate(c *catalog.Configuration, route *catalog.Route, info RequestInfo) (*catalog.Customer, refusal) {
	if !c.KeysRequired {
		return nil, notRefused
	}
	if info.HasKey {
		if customer := c.Customer(info.Key); customer != nil {
			return customer, notRefused
		}
	}
	switch {
	case route.Public:
		return nil, notRefused
	case !info.HasKey:
		return nil, refusalMissingKey
	case c.CustomersIncomplete:
		return nil, refusalIncomplete
	default:
		return nil, refusalUnknownKey
	}
}

// authenticate sets the customer of the request.
func (req *request) authenticate(c *catalog.Configuration) *result.Failure {
	req.customer, req.refusal = authenticate(c, req.route, req.info)
	if req.refusal == refusalUnknownKey && req.g.mayBeOutdated(req.view, time.Now()) {
		req.refusal = refusalOutdated
	}
	switch req.refusal {
	case notRefused:
		return nil
	case refusalMissingKey:
		return result.Fail(result.UnknownCredential, "the request has no key")
	case refusalUnknownKey:
		return result.Fail(result.UnknownCredential, "no customer of configuration %d has the key", c.Version)
	case refusalIncomplete:
		return result.Fail(result.UndecidedKey, "no customer of configuration %d has the key, but a customer or key of it cannot be read", c.Version)
	default:
		return result.Fail(result.UndecidedKey, "no customer of configuration %d has the key, but a later configuration may be in force", c.Version)
	}
}

// mayBeOutdated reports whether a later configuration than that of the view may be in force: another host has announced one, or the
// store has not confirmed the view for as long as a configuration may take until it is in force.
func (g *Gateway) mayBeOutdated(view *catalog.View, now time.Time) bool {
	if view.Announced > view.Configuration.Version {
		return true
	}
	confirmedAt, _ := g.follower.ConfirmedAt()
	return now.Sub(confirmedAt) > time.Duration(g.settings.Bounds.ConfigurationMs)*time.Millisecond
}

// rank returns the priority of the request; 0 is the most urgent. The route of the request has to be known.
func (req *request) rank() int { return req.route.RankFor(req.customer) }

// customerName returns the name of the request's customer, or an empty string.
func (req *request) customerName() string {
	if req.customer == nil {
		return ""
	}
	return req.customer.Name
}

// refusalReason returns the reason of a refusal with a result code.
func (req *request) refusalReason(code result.Code) string {
	if req.refusal != notRefused {
		return string(req.refusal)
	}
	return code.Describe().Name
}
