package entry

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// latencyBuckets covers latencies from a look-up inside a failure domain to the longest request.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// callerMetrics counts requests by rank and result code.
type callerMetrics struct {
	scope      tally.Scope
	rankScopes [rank.Count]tally.Scope
}

func newCallerMetrics(scope tally.Scope) *callerMetrics {
	m := &callerMetrics{scope: scope}
	for _, r := range rank.All() {
		m.rankScopes[r] = scope.Tagged(map[string]string{"rank": r.String()})
	}
	return m
}

func (m *callerMetrics) recordRequest(r rank.Rank, code result.Code, elapsed time.Duration) {
	scope := m.rankScopes[r]
	scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(elapsed)
}
