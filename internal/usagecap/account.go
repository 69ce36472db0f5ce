package usagecap

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// account is the state of a customer on this host.
type account struct {
	name  string
	key   key
	group int
	cap   Cap
	// granted are tokens of an allocator, which expire with the lease of the group. own are tokens that this host accrued while no
	// allocator responded, up to ownAt.
	granted, own float64
	ownAt        time.Time
	// borrowed is the credit that is not yet reported, borrowing the credit in the report that is not acknowledged.
	borrowed, borrowing float64
	// demand is the rate of requests, smoothed the same over a longer time, received the rate of tokens received.
	demand, smoothed, received rate
	requestedAt                time.Time
	lineAt                     time.Time
	lineDemand                 float64
	// wanted is true if the latest line asked for tokens.
	wanted bool
	// creditDue adds up the part of the requests that may use credit.
	creditDue          float64
	admitted, rejected uint64
	// loggedShare and loggedAt describe the latest reported change of the share.
	loggedShare float64
	loggedAt    time.Time
}

// target is the number of tokens that the host should hold. Credit serves single requests, and two of a customer with
// less than one token for each host: tokens on hosts without further requests would be missing elsewhere.
func (a *account) target(hostCount int, now time.Time) float64 {
	single := 1.0
	if a.cap.depth() < float64(hostCount) {
		single = 2
	}
	expected := (a.demand.value(now, demandTime) - single/demandTime.Seconds()) * horizon.Seconds()
	if expected < 0.5 {
		return 0
	}
	return expected + min(math.Sqrt(expected)+0.5, a.cap.depth()/(reservePart*float64(max(1, hostCount))))
}

// reservePart divides the depth that hosts may hold as a reserve against fluctuations.
const reservePart = 4

// useCredit reports whether a request may use credit if only a part of the requests may.
func (a *account) useCredit(part float64, rank int) bool {
	if rank == 0 {
		part = min(1, urgentCredit*part)
	}
	a.creditDue = min(a.creditDue+part, 1+part)
	if a.creditDue < 1 {
		return false
	}
	a.creditDue--
	return true
}

// urgentCredit is the factor by which requests of rank 0 use credit more often than others.
const urgentCredit = 4

// credit is the number of requests that the host may admit before it has tokens for them.
func (a *account) credit(hostCount int) float64 {
	return max(minCredit, a.cap.depth()/float64(max(1, hostCount)))
}

// minCredit lets a second request pass before the first one is reported. With one, 2 to 4% of the requests of the usual load were rejected
// in the simulation.
const minCredit = 2

// accrueOwn adds the host's own share since ownAt. If the depth is below a token for each host, as many hosts as there are tokens have a
// share for a turn, then others.
func (a *account) accrueOwn(self string, hostCount int, part float64, now time.Time) {
	elapsed := seconds(now.Sub(a.ownAt))
	a.ownAt = now
	sharers := min(float64(max(1, hostCount)), max(1, math.Floor(a.cap.depth())))
	if chance := sharers / float64(max(1, hostCount)); chance < 1 {
		turn := now.UnixNano() / int64(ownTurn)
		if float64(xxhash.Sum64String(a.name+"\x00"+self+"\x00"+strconv.FormatInt(turn, 10)))/math.MaxUint64 >= chance {
			a.own = 0
			return
		}
	}
	a.own = min(a.own+part*a.cap.RatePerSecond/sharers*elapsed, max(a.own, a.cap.depth()/sharers))
}

// ownTurn is the time for which the same hosts share a cap that is too small for all.
const ownTurn = 15 * time.Second

// take uses tokens.
func (a *account) take() {
	a.granted--
	if a.granted < 0 {
		a.own += a.granted
		a.granted = 0
	}
}
