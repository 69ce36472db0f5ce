package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

// latencyBuckets cover the SLOs of the deployments, which lie between 0.2 and 2 seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// gatewayMetrics are the counters and histograms of a gateway.
type gatewayMetrics struct {
	scope   tally.Scope
	lookups tally.Counter
}

func newGatewayMetrics(scope tally.Scope) *gatewayMetrics {
	return &gatewayMetrics{scope: scope, lookups: scope.Counter("lookups")}
}

// reportDropped shows the number of dropped log lines until ctx ends.
func (m *gatewayMetrics) reportDropped(ctx context.Context, dropped func() uint64) {
	gauge := m.scope.Gauge("log_lines_dropped")
	for ctx.Err() == nil {
		gauge.Update(float64(dropped()))
		wait.For(ctx, droppedInterval)
	}
}

// droppedInterval is the time between two updates of the number of dropped log lines.
const droppedInterval = 5 * time.Second

// request counts a request by its route and result.
func (m *gatewayMetrics) request(req *request, code result.Code, took time.Duration) {
	rank := "none"
	if req.route != nil {
		rank = strconv.Itoa(req.route.Rank)
	}
	scope := m.scope.Tagged(map[string]string{"rank": rank})
	scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}
