package measure

import (
	"net/netip"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// tokens are the credentials that give each rank.
var tokens = map[rank.Rank]string{
	rank.Urgent:      fleet.PayingToken,
	rank.Interactive: fleet.MemberToken,
	rank.Deferrable:  "",
}

// callersPerDomain is the number of callers that send in turn in each failure domain.
const callersPerDomain = 2

// callers makes callers in every failure domain that look up there, as blocks of clients do that are mapped to the nearest
// site. Source addresses start at the given number, so that entry hosts tell groups of callers without credentials from each
// other.
func (e *env) callers(source int) []*load.Caller {
	var callers []*load.Caller
	for i, region := range e.fleet.Document.Regions {
		callers = append(callers, e.regionCallers(region.Name, source+10*i)...)
	}
	return callers
}

// regionCallers makes callers in every failure domain of a region.
func (e *env) regionCallers(region string, source int) []*load.Caller {
	var callers []*load.Caller
	for _, d := range e.fleet.Document.FailureDomains {
		if d.Region == region {
			callers = append(callers, e.domainCallers(d.Name, source+len(callers))...)
		}
	}
	return callers
}

func (e *env) callersOf(bootstrap []string, source int) []*load.Caller {
	var callers []*load.Caller
	for i := range callersPerDomain {
		callers = append(callers, load.NewCallerAt(bootstrap, "", sourceAddress(source+i)))
	}
	return callers
}

// domainCallers makes callers that look up at the entry hosts of one failure domain.
func (e *env) domainCallers(domain string, source int) []*load.Caller {
	var bootstrap []string
	for _, h := range e.fleet.Document.Hosts {
		if h.FailureDomain == domain {
			bootstrap = append(bootstrap, h.CallerAddress.String())
		}
	}
	return e.callersOf(bootstrap, source)
}

// callerOctet is the second octet of the loopback addresses of callers; the fleet uses others.
const callerOctet = 80

func sourceAddress(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, callerOctet, 0, byte(1 + n)})
}

// stream makes a stream of a rank of a service with a rate in requests a second. Requests that may not be repeated have a
// key and are in the ledger.
func (e *env) stream(name string, s *policy.Service, r rank.Rank, rate float64, callers []*load.Caller) load.Stream {
	route := routeOf(s, r)
	request := load.Request{
		Service: s.Name, Method: route.Method, Path: route.PathPrefix, Token: tokens[r], Timeout: requestTimeout,
	}
	if request.Method == "" {
		request.Method = "POST"
	}
	if !route.Repeatable {
		request.Body = []byte(`{"quantity":1}`)
	}
	e.streams++
	stream := load.Stream{
		Name: name, Rate: rate, Request: request, Keyed: !route.Repeatable, Marked: true, Callers: callers,
		Seed: e.options.Seed*1000 + e.streams,
	}
	if stream.Keyed {
		stream.Observe = e.ledger.observe
	}
	return stream
}

// routeOf returns the first route of a service that gives a rank.
func routeOf(s *policy.Service, r rank.Rank) policy.Route {
	for _, route := range s.Routes {
		if route.Rank == r {
			return route
		}
	}
	return policy.Route{PathPrefix: "/"}
}

// normal makes the streams of all ranks of the flooded service at their normal rates, times factor.
func (e *env) normal(factor float64, callers []*load.Caller) []load.Stream {
	var streams []load.Stream
	for _, r := range rank.All() {
		rate := e.shares[r] * factor * e.capacity(e.flooded().Name)
		streams = append(streams, e.stream(r.String(), e.flooded(), r, rate, callers))
	}
	return streams
}

// lookupsName is the stream of work of the first service; the other streams go to the flooded service.
const lookupsName = "lookups"

// lookups makes the stream of interactive work of the first service at a share of its capacity.
func (e *env) lookups(share float64, callers []*load.Caller) load.Stream {
	return e.stream(lookupsName, e.first(), rank.Interactive, share*e.capacity(e.first().Name), callers)
}

// mixed makes the normal streams and lookups at a tenth of the first service's capacity.
func (e *env) mixed() []load.Stream {
	callers := e.callers(0)
	return append(e.normal(1, callers), e.lookups(0.1, callers))
}

// drainStreams makes work that uses 0.4 of the first service, so that every backend server gets work all the time.
func (e *env) drainStreams() []load.Stream {
	callers := e.callers(0)
	return append(e.normal(0.5, callers), e.lookups(0.4, callers))
}
