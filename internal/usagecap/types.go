// Package usagecap keeps the sum of each customer's requests on all hosts within the customer's cap. It does no I/O and takes the
// current time as an argument, so that tests can simulate it. docs/design/usage-caps.md describes the protocol.
package usagecap

import "time"

// Cap is the usage cap of a customer over all hosts.
type Cap struct {
	// RatePerSecond is the number of requests per second, Burst the number of requests in addition.
	RatePerSecond float64
	Burst         float64
}

// depth is the number of tokens that may exist on all hosts together. The platform tolerates 0.5 of the rate, 0.1 of the burst and 20
// requests above the cap in a window of 5 s. The part that is not used here covers credit that is not yet reported.
func (c Cap) depth() float64 { return depthBurst*c.Burst + depthSeconds*c.RatePerSecond + depthTokens }

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which the customer may have a token again. It is zero if the request is admitted.
	RetryAfter time.Duration
	// Share is the rate in requests per second that this host has received lately, Cap the customer's rate over all hosts. Cap is zero
	// if the customer has none.
	Share float64
	Cap   float64
	// Reason is one of the reasons of this package; empty if the customer has no cap.
	Reason string
}

// Reasons of decisions.
const (
	ReasonToken         = "token"
	ReasonCredit        = "credit"
	ReasonCapExceeded   = "cap_exceeded"
	ReasonShareSpent    = "share_spent"
	ReasonDisconnected  = "disconnected_share_spent"
	ReasonKeptForUrgent = "kept_for_rank_0"
)

// Usage is the state of a customer on this host.
type Usage struct {
	Customer string `json:"customer"`
	// CapPerSecond and Burst are the cap over all hosts.
	CapPerSecond float64 `json:"cap_per_s"`
	Burst        float64 `json:"burst"`
	// SharePerSecond is the rate of tokens that this host has received lately, DemandPerSecond the rate of requests on this host.
	SharePerSecond  float64 `json:"share_per_s"`
	DemandPerSecond float64 `json:"demand_per_s"`
	// Tokens is the number of requests that this host may admit now. It is negative while credit is not paid back.
	Tokens   float64 `json:"tokens"`
	Admitted uint64  `json:"admitted"`
	Rejected uint64  `json:"rejected"`
	// Allocator is the host that gives tokens to this one; empty while none responds.
	Allocator string `json:"allocator"`
}

const (
	// depthBurst, depthSeconds and depthTokens define depth.
	depthBurst   = 1.0
	depthSeconds = 0.2
	depthTokens  = 4
	// groups is the number of groups into which customers are divided. Each group has its own allocators, so that no host handles
	// the messages about all customers.
	groups = 9
	// maxDirectHosts is the number of hosts up to which all hosts report to the allocator of a group directly.
	maxDirectHosts = 24
	// reportInterval is the time between two reports to an allocator, and urgentInterval the time after which a host reports again
	// because a customer lacks tokens.
	reportInterval = 400 * time.Millisecond
	urgentInterval = 60 * time.Millisecond
	// creditInterval is the time after which a host reports again because it has used credit.
	creditInterval = 200 * time.Millisecond
	// lineInterval is the time after which the line of a customer whose demand has not changed is repeated.
	lineInterval = 900 * time.Millisecond
	// lease is the time for which tokens are valid after the report of their holder that was last acknowledged.
	lease = 2 * time.Second
	// CallTimeout limits a call to an allocator. It is below lease, so that tokens of a late response are still valid.
	CallTimeout = 500 * time.Millisecond
	// allocatorBackoff is the time for which an allocator that did not respond is not used.
	allocatorBackoff = 2 * time.Second
	// maxCeded is the longest time between two reports for which a host cedes its accrual.
	maxCeded = time.Second
	// horizon is the time for which a host holds tokens at its present demand.
	horizon = 600 * time.Millisecond
	// idleAfter is the time without a request after which a host gives its tokens back.
	idleAfter = 4 * time.Second
	// demandTime is the time constant of the demand estimate.
	demandTime = 400 * time.Millisecond
	// reportedTime is that of the estimate in reports. A shorter one is outdated before the next line about a customer with few requests.
	reportedTime = 1500 * time.Millisecond
	// joinWait is the time after its first listing for which a host has no tokens: other hosts must count it first.
	joinWait = time.Second
	// departedHold is the time for which a host counts after it was last listed. After cutOffAfter without confirmation by the store a
	// host uses cutOffPart of its own share, since other hosts may have stopped to count it.
	departedHold = 60 * time.Second
	cutOffAfter  = 40 * time.Second
	cutOffPart   = 0.1
	// hotLevel is the part of the depth below which hosts may take credit only for a part of the requests.
	hotLevel = 0.15
	// urgentPart is the part of a host's usual tokens that only requests of rank 0 may use.
	urgentPart = 0.1
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)
