package gateway

import (
	"slices"
	"sync/atomic"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// homeLimit counts the routes or customers whose requests may be handled in their home regions only.
type homeLimit struct {
	count int
	// allowing is the number of them that have a region as a home.
	allowing map[string]int
}

// add counts a route or customer. One without home regions has no restriction.
func (l *homeLimit) add(homes []string) {
	if len(homes) == 0 {
		return
	}
	if l.allowing == nil {
		l.allowing = map[string]int{}
	}
	l.count++
	for i, region := range homes {
		if !slices.Contains(homes[:i], region) {
			l.allowing[region]++
		}
	}
}

// homeLimits are the restrictions that may apply to the requests for a host name. A look-up does not state the route or the customer of the
// requests that follow it.
type homeLimits []*homeLimit

// excluding returns the number of routes and customers whose requests must not be handled in a region.
func (l homeLimits) excluding(region string) int {
	n := 0
	for _, limit := range l {
		n += limit.count - limit.allowing[region]
	}
	return n
}

// homeIndex holds the home restrictions of a configuration.
type homeIndex struct {
	configuration *catalog.Configuration
	routes        map[string]*homeLimit
	customers     homeLimit
	// withCustomers holds the host names that have routes which need the key of a customer.
	withCustomers map[string]bool
}

func newHomeIndex(c *catalog.Configuration) *homeIndex {
	x := &homeIndex{configuration: c, routes: map[string]*homeLimit{}, withCustomers: map[string]bool{}}
	for name, routes := range c.Routes {
		limit := &homeLimit{}
		for _, route := range routes {
			limit.add(route.Homes)
			if c.KeysRequired && !route.Public {
				x.withCustomers[name] = true
			}
		}
		if limit.count > 0 {
			x.routes[name] = limit
		}
	}
	for _, customer := range c.Customers {
		x.customers.add(customer.Homes)
	}
	return x
}

// unknownHomes excludes all regions, for a host that has no configuration.
var unknownHomes = homeLimits{{count: 1}}

// limits returns the restrictions that may apply to the requests for a host name. A nil index has no configuration.
func (x *homeIndex) limits(name string) homeLimits {
	if x == nil {
		return unknownHomes
	}
	var list homeLimits
	if limit := x.routes[name]; limit != nil {
		list = append(list, limit)
	}
	if x.withCustomers[name] {
		list = append(list, &x.customers)
	}
	return list
}

// homeIndexes keeps the index of the configuration in force, since a configuration may have many customers. It is safe for concurrent use.
type homeIndexes struct{ latest atomic.Pointer[homeIndex] }

// of returns the index of a configuration, nil for none.
func (h *homeIndexes) of(c *catalog.Configuration) *homeIndex {
	if c == nil {
		return nil
	}
	if x := h.latest.Load(); x != nil && x.configuration == c {
		return x
	}
	x := newHomeIndex(c)
	h.latest.Store(x)
	return x
}
