package forward

import (
	"context"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// slowAdmitter has a slot only for requests that wait longer than SlotWaitBeforeSpill.
type slowAdmitter struct{ Admitter }

func (a slowAdmitter) Acquire(ctx context.Context, service string, r rank.Rank, caller string, deadline time.Time, maxWait time.Duration, exclude []string) (Permit, *result.Failure) {
	if maxWait <= SlotWaitBeforeSpill {
		return nil, result.Fail(result.NoCapacity, "no slot is free")
	}
	return a.Admitter.Acquire(ctx, service, r, caller, deadline, maxWait, exclude)
}

// unreachablePeer is a Router and Forwarder whose only peer cannot be reached.
type unreachablePeer struct{}

func (unreachablePeer) Next(_ *Request, tried []string, _ time.Duration) (Target, bool) {
	return Target{Host: "dead"}, len(tried) < 2
}
func (unreachablePeer) ShiftFor(*Request) (Target, bool) { return Target{}, false }
func (unreachablePeer) ForwardTo(context.Context, string, *Request) (*Response, *result.Failure) {
	return nil, result.Fail(result.ConnectFailed, "no connection to the peer")
}

// Guards against a host that spends its retry budget on a peer that has just failed, and then rejects requests that its
// own slots could serve after a short wait.
func TestRequestUsesOwnSlotAfterUnreachablePeer(t *testing.T) {
	f := newFixture(t, 3, 0, backendserver.Options{})
	options := f.pipeline.options
	options.Admitter, options.Router, options.Forwarder = slowAdmitter{options.Admitter}, unreachablePeer{}, unreachablePeer{}
	pipeline := NewPipeline(options)
	for i := range 50 {
		req := f.request(i%2 == 0)
		if r := pipeline.Handle(context.Background(), req); r.Code != result.OK {
			t.Fatalf("request %d: code %d, want a response through an own slot", i, r.Code)
		}
	}
}
