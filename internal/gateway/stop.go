package gateway

import (
	"context"
	"time"
)

const (
	// serveShare is the share of the grace period for which a stopping host still accepts requests. Callers may still use look-up
	// responses that include it.
	serveShare = 0.45
	// stopMargin is the time reserved at the end of the grace period, after which the platform kills the process.
	stopMargin = 400 * time.Millisecond
)

// stop stops serving and lets running requests complete. The host reports at once that it is not ready and is removed from look-up
// responses. It accepts requests while callers may use earlier look-up responses, and then waits for the running requests.
func (g *Gateway) stop() {
	started := time.Now()
	g.stopping.Store(true)
	g.listener(callerListener).AnnounceClose()
	grace := g.settings.Bounds.StopGrace()
	g.log.Info().Int64("active", g.activeRequests.Load()).Dur("grace_ms", grace).Msg("stopping")
	time.Sleep(time.Duration(serveShare * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-stopMargin))
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
