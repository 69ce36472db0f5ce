package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// TestPipelineProperty guards against a second execution of a request that is not repeatable, a false "not run", more than
// two forwards, an extended deadline, and permits or grants that are not released exactly once. Four hosts with random
// fakes run on a virtual clock. A request with a key is repeated while it runs.
func TestPipelineProperty(t *testing.T) {
	snapshot := testSnapshot(t, 50, testServers("b1", "b2", "b3")...)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		req := drawRequest(rt)
		leaveAfter := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 20, 200}).Draw(rt, "caller leaves after ms")) * time.Millisecond
		synctest.Test(t, func(*testing.T) { checkOneRequest(rt, newSimulation(snapshot, seed), req, leaveAfter) })
	})
}

func drawRequest(rt *rapid.T) *Request {
	req := &Request{
		ID: "r1", Service: "s", Caller: "caller", Method: "POST", Path: "/",
		Rank:       rank.Rank(rapid.IntRange(0, rank.Count-1).Draw(rt, "rank")),
		Repeatable: rapid.Bool().Draw(rt, "repeatable"),
		Timeout:    time.Duration(rapid.IntRange(0, 1000).Draw(rt, "timeout")) * time.Millisecond,
	}
	if rapid.Bool().Draw(rt, "key") {
		req.IdempotencyKey = "key"
	}
	return req
}

// checkOneRequest handles one request and checks the outcome. It must run in a synctest bubble. The caller leaves after
// leaveAfter, or not before the response if that is zero.
func checkOneRequest(rt *rapid.T, sim *simulation, req *Request, leaveAfter time.Duration) {
	sim.repeatable = req.Repeatable
	sim.deadline = time.Now().Add(req.Timeout)
	ctx, cancel := context.WithCancel(context.Background())
	if leaveAfter > 0 {
		time.AfterFunc(leaveAfter, cancel)
	}
	repeated := make(chan *Response, 1)
	repeat := *req
	repeat.ID = "r2"
	if req.IdempotencyKey != "" {
		go func() { repeated <- sim.hosts["a"].Handle(context.Background(), &repeat) }()
	}
	response := sim.hosts["a"].Handle(ctx, req)
	if time.Now().After(sim.deadline) {
		rt.Errorf("responded %v after the deadline", time.Since(sim.deadline))
	}
	cancel()
	sim.waitForAllAttempts()
	sim.check(rt)
	sim.checkResponse(rt, req.ID, response)
	if req.IdempotencyKey != "" {
		sim.checkResponse(rt, repeat.ID, <-repeated)
	}
}

// waitForAllAttempts waits until all attempts and all calls to peers have completed.
func (s *simulation) waitForAllAttempts() {
	time.Sleep(time.Minute)
	synctest.Wait()
}

// checkResponse compares the response with what happened to the request.
func (s *simulation) checkResponse(rt *rapid.T, id string, response *Response) {
	if response.Code.NotRun() && s.mayHaveRun[id] > 0 {
		rt.Errorf("%s: %v after %d attempts that may have run", id, response.Code, s.mayHaveRun[id])
	}
	if response.Code != result.OK && !response.Code.NotRun() && !isUnknownOutcome(response.Code) {
		rt.Errorf("%s: code %v is neither not run nor unknown", id, response.Code)
	}
	if response.Code == result.OK && string(response.Body) != "whole" {
		rt.Errorf("%s: response %q", id, response.Body)
	}
	if s.forwards[id] > MaxForwards {
		rt.Errorf("%s: %d forwards", id, s.forwards[id])
	}
}

func (s *simulation) check(rt *rapid.T) {
	for _, p := range s.problems {
		rt.Error(p)
	}
	if total := s.mayHaveRun["r1"] + s.mayHaveRun["r2"]; !s.repeatable && total > 1 {
		rt.Errorf("%d attempts may have run", total)
	}
	for number, releases := range s.permitReleases {
		if *releases != 1 {
			rt.Errorf("permit %d was released %d times", number, *releases)
		}
	}
	for number, releases := range s.grantReleases {
		if *releases != 1 {
			rt.Errorf("grant %d was released %d times", number, *releases)
		}
	}
}
