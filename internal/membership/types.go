// Package membership tracks which entry hosts are alive. It uses heartbeats inside the failure domain and summaries that the
// delegates of failure domains exchange.
package membership

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Periods and limits of the protocol.
const (
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval = time.Second
	// UnreachableAfter is the time without an update of a host after which the host counts as unreachable.
	UnreachableAfter = 3 * time.Second
	// SummaryInterval is the time between two summaries of a delegate.
	SummaryInterval = 2 * time.Second
	// SummaryMaxAge is the age at which the summary of another failure domain becomes stale and is ignored.
	SummaryMaxAge = 8 * time.Second
	// Fanout is the largest number of peers that a host sends one heartbeat to.
	Fanout = 8
	// MaxObservations is the largest number of observations in one heartbeat. In a larger failure domain, successive
	// heartbeats cover successive groups of peers, so that the size of a heartbeat stays bounded. With 27 hosts, the largest
	// failure domain of the target size, 8 observations suffice at 5% message loss; see
	// TestLiveHostsStayReachableWithMessageLoss.
	MaxObservations = 12
	// DelegateCount is the number of delegates of a failure domain.
	DelegateCount = 2
)

// Incarnation identifies one lifetime of a host's process. A later lifetime has a higher number.
type Incarnation uint64

// State is the lifecycle state that a host reports of itself.
type State uint8

// States of a host.
const (
	// Joining means that the process uses no slots yet.
	Joining State = iota
	// Serving means that the process accepts requests.
	Serving
	// Leaving means that the process is stopping and look-up responses no longer include the host.
	Leaving
)

// Headroom is the smoothed free capacity of a host for one service.
type Headroom struct {
	Service string
	// Usable is the number of slots that the host may use.
	Usable int
	// Free is the number of free slots available to each rank.
	Free [rank.Count]float64
}

// Member is what a host reports of itself.
type Member struct {
	ID            string
	Incarnation   Incarnation
	Counter       uint64
	State         State
	ConfigVersion policy.Version
	Headroom      []Headroom
}

// Observation is what a host knows of another host and reports to its peers.
type Observation struct {
	ID          string
	Incarnation Incarnation
	Counter     uint64
	State       State
	// Age is the time since the observed host's message was received, summed over the hosts that relayed the observation.
	// Network delays are not included.
	Age time.Duration
}

// Notice reports that a backend server is leaving, or that it is no longer leaving. The higher sequence wins.
type Notice struct {
	BackendServer string
	Leaving       bool
	Sequence      uint64
}

// Heartbeat is the message that hosts of a failure domain exchange. The response to a heartbeat is a heartbeat too.
type Heartbeat struct {
	From    Member
	Others  []Observation
	Notices []Notice
	// Suspects lists the backend servers whose failures the sender observed itself.
	Suspects []string
}

// Summary is the state of a failure domain that its delegates send to the other failure domains.
type Summary struct {
	FailureDomain string
	// Origin is the delegate that created the summary. OriginIncarnation is its incarnation, and Sequence increases with each
	// of its summaries.
	Origin            string
	OriginIncarnation Incarnation
	Sequence          uint64
	// Age is the time that the summary has spent on the hosts that relayed it.
	Age     time.Duration
	Members []Member
}

// SummaryVersion identifies a summary. Two versions can be compared with ==.
type SummaryVersion struct {
	Origin      string
	Incarnation Incarnation
	Sequence    uint64
}
