package main

import (
	"fmt"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// requestTimeout is the time that callers give a request.
const requestTimeout = 2 * time.Second

// workload finds for each rank a service and a route that gives it.
type workload struct {
	service string
	route   policy.Route
}

// workloads lists one workload for each rank that some route of the policy gives.
func workloads(doc *policy.Document) map[rank.Rank]workload {
	found := map[rank.Rank]workload{}
	for _, s := range doc.Services {
		for _, route := range s.Routes {
			if _, ok := found[route.Rank]; !ok {
				found[route.Rank] = workload{s.Name, route}
			}
		}
	}
	return found
}

// request makes a request of a workload.
func (w workload) request(timeout time.Duration) load.Request {
	request := load.Request{
		Service: w.service,
		Method:  w.route.Method,
		Path:    w.route.PathPrefix,
		Timeout: timeout,
	}
	if request.Method == "" {
		request.Method = "GET"
	}
	if !w.route.Repeatable {
		request.Body = []byte(`{"quantity":1}`)
	}
	return request
}

// tokens are the credentials that give each rank.
var tokens = map[rank.Rank]string{
	rank.Urgent:      fleet.PayingToken,
	rank.Interactive: fleet.MemberToken,
	rank.Deferrable:  "",
}

// callersIn makes callers in every region, which look up in their own region first.
func callersIn(deployment *fleet.Fleet, perRegion int) []*load.Caller {
	var callers []*load.Caller
	for _, region := range deployment.Document.Regions {
		for range perRegion {
			callers = append(callers, load.NewCaller(deployment.CallerAddresses(region.Name), ""))
		}
	}
	return callers
}

// stream makes the stream of a rank with the rate in requests a second.
func stream(deployment *fleet.Fleet, r rank.Rank, rate float64, callers []*load.Caller) (load.Stream, error) {
	w, ok := workloads(deployment.Document)[r]
	if !ok {
		return load.Stream{}, fmt.Errorf("no route of the policy has rank %s", r)
	}
	request := w.request(requestTimeout)
	request.Token = tokens[r]
	return load.Stream{Name: r.String(), Rate: rate, Request: request, Keyed: !w.route.Repeatable, Callers: callers}, nil
}

// demoRates are the requests a second of the demo.
var demoRates = [rank.Count]float64{rank.Urgent: 40, rank.Interactive: 120, rank.Deferrable: 40}

func demoStreams(deployment *fleet.Fleet) ([]load.Stream, error) {
	callers := callersIn(deployment, 2)
	var streams []load.Stream
	for _, r := range rank.All() {
		s, err := stream(deployment, r, demoRates[r], callers)
		if err != nil {
			return nil, err
		}
		streams = append(streams, s)
	}
	return streams, nil
}
