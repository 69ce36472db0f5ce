package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/shutdown"
)

// checkStop returns the failure of a request that a stopping host does not pass on. The caller can use another host at once.
func (req *request) checkStop() *result.Failure {
	plan := req.g.stopPlan.Load()
	if plan.MayStart(req.deadline, time.Now()) {
		return nil
	}
	return result.Fail(result.HostLeaving, "the host exits %v before the deadline", req.deadline.Sub(plan.AnswerBy).Round(time.Millisecond))
}

// untilStop returns a context that is also cancelled when the host answers the requests that still run.
func (g *Gateway) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.running, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// endBodyAtStop makes the read of a body fail when the host answers the requests that still run, so that the caller of an incomplete one
// gets a response too. The returned function ends that.
func (req *request) endBodyAtStop(w http.ResponseWriter) func() bool {
	return context.AfterFunc(req.g.running, func() {
		// If the deadline cannot be set, the connection is broken, and the read fails too.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

// failureAtStop returns the failure of an attempt that was ended by the stop of the host.
func failureAtStop(failure *result.Failure) *result.Failure {
	switch failure.Code {
	case result.CallerGone:
		return result.Fail(result.HostLeaving, "the host exits before the request was sent")
	case result.AttemptTimeout:
		return result.Fail(result.AttemptTimeout, "the host exits before the answer: %s", failure.Message)
	default:
		return failure
	}
}

// stop stops serving and lets running requests complete. The host reports at once that it is not ready and is removed from look-up
// responses. It accepts connections while callers may use earlier look-up responses, and then waits for the running requests. Those that
// are not completed in time get a failure, so that responses of requests behind them on the same connection are delivered.
func (g *Gateway) stop() {
	started := time.Now()
	grace := g.settings.Bounds.StopGrace()
	plan := shutdown.NewPlan(started, grace)
	g.stopPlan.Store(plan)
	g.stopping.Store(true)
	g.listener(callerListener).AnnounceClose()
	g.log.Info().Int64("active", g.activeRequests.Load()).Dur("grace_ms", grace).Msg("stopping")
	defer time.AfterFunc(time.Until(plan.AnswerBy), g.endRequests).Stop()
	time.Sleep(time.Until(plan.LateFrom))
	ctx, cancel := context.WithDeadline(context.Background(), plan.ExitBy)
	defer cancel()
	for _, l := range g.listeners {
		if err := l.Drain(ctx); err != nil {
			g.log.Warn().Str("listener", l.Name()).Int64("active", g.activeRequests.Load()).Err(err).Msg("requests_cut")
		}
	}
	if err := g.peerListener.Close(); err != nil {
		g.log.Warn().Str("listener", "peer_address").Err(err).Msg("listener_not_closed")
	}
	g.backends.Close()
	g.log.Info().Dur("took_ms", time.Since(started)).Msg("stopped")
}

// endRequests answers the requests that still run with a failure.
func (g *Gateway) endRequests() {
	if active := g.activeRequests.Load(); active > 0 {
		g.log.Warn().Int64("active", active).Msg("requests_ended")
	}
	g.endRunning()
}
