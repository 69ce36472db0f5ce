package entry

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// newPipeline returns the pipeline that processes requests of callers and of other hosts.
func (e *Entry) newPipeline() *forward.Pipeline {
	return forward.NewPipeline(forward.Options{
		Host:        e.settings.HostID,
		Incarnation: func() membership.Incarnation { return e.cluster.identity().Incarnation },
		Region:      e.region,
		Policy:      e.config.Snapshot,
		Admitter:    e.capacity,
		Router:      e.router,
		Forwarder:   countingForwarder{trackingForwarder{e.peers, e.router}, e.metrics.Scope},
		Bodies:      bodies.NewBudget(e.settings.Limits.BodyMemory()),
		Attempter:   &backend.Observer{Client: e.backends, Registry: e.registry},
		BeforeWrite: e.checkSlotWritable,
	})
}

// checkSlotWritable returns an error if this process may no longer use the slot of an attempt. In that case the process was
// paused after it took the slot, and may have joined again as a new incarnation since.
func (e *Entry) checkSlotWritable(permit forward.Permit) error {
	admitted, ok := permit.(*admissionPermit)
	if !ok || !e.cluster.writable(admitted.permit.Slot(), time.Now()) {
		return Error.New("the process was paused and has lost its slots")
	}
	return nil
}

// handleForwarded runs a request that another entry host forwarded.
func (e *Entry) handleForwarded(ctx context.Context, request *forward.Request) *forward.Response {
	e.activeForwards.Add(1)
	defer e.activeForwards.Add(-1)
	release, failure := e.grants.admit(request)
	if failure != nil {
		return forward.FailureResponse(failure)
	}
	defer release()
	return e.pipeline.Handle(ctx, request)
}

// region returns the region of this host according to the policy in force.
func (e *Entry) region() string {
	if snapshot := e.config.Snapshot(); snapshot != nil {
		return snapshot.Region(e.settings.FailureDomain)
	}
	return ""
}
