package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

// latencyBuckets cover the latency SLOs of the deployments, which are between 0.2 and 2 seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// gatewayMetrics holds the counters and histograms of a Gateway.
type gatewayMetrics struct {
	scope   tally.Scope
	lookups tally.Counter
	// storeRestored counts the restorations of the store from an older copy, storeEra is the era of the latest view.
	storeRestored tally.Counter
	storeEra      tally.Gauge
	revision      atomic.Uint64
}

func newGatewayMetrics(scope tally.Scope) *gatewayMetrics {
	return &gatewayMetrics{scope: scope, lookups: scope.Counter("lookups"), storeRestored: scope.Counter("store_restored"), storeEra: scope.Gauge("store_era")}
}

// recordEra counts a new era of the store. The era of the first view is not counted.
func (m *gatewayMetrics) recordEra(revision catalog.Revision) {
	before := catalog.Revision(m.revision.Swap(uint64(revision)))
	if before > 0 && revision.Era() > before.Era() {
		m.storeRestored.Inc(1)
	}
	if revision.Era() > before.Era() {
		m.storeEra.Update(float64(revision.Era()))
	}
}

// reportGauges periodically updates the gauges of dropped log lines and of the memory that bodies hold until ctx is done.
func (m *gatewayMetrics) reportGauges(ctx context.Context, droppedLines func() uint64, bodyBytes func() int64) {
	dropped, held := m.scope.Gauge("log_lines_dropped"), m.scope.Gauge("body_bytes")
	for ctx.Err() == nil {
		dropped.Update(float64(droppedLines()))
		held.Update(float64(bodyBytes()))
		wait.For(ctx, gaugeInterval)
	}
}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 5 * time.Second

// recordRejectedBody counts a large body that was rejected because of the bound of its client or of the host.
func (m *gatewayMetrics) recordRejectedBody(bound string) {
	m.scope.Tagged(map[string]string{"bound": bound}).Counter("bodies_rejected").Inc(1)
}

// recordRequest counts a request by rank and result code, and records its latency by rank.
func (m *gatewayMetrics) recordRequest(req *request, code result.Code, took time.Duration) {
	rank := "none"
	if req.route != nil {
		rank = strconv.Itoa(req.rank())
	}
	scope := m.scope.Tagged(map[string]string{"rank": rank})
	scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("requests").Inc(1)
	if status := code.Describe().Status; isRefusal(status) {
		m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": req.refusalReason(code)}).Counter("refusals").Inc(1)
	}
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// isRefusal reports whether a status refuses a request because of its customer.
func isRefusal(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusTooManyRequests
}
