// Package slots decides which entry host may use which slot of a backend server, and counts the slots that this host has
// in use. docs/design.md, section 4, has the rules and their reasons.
package slots

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// Error is the class of errors of this package.
var Error = errs.Class("slots")

// ID identifies one slot of a backend server.
type ID struct {
	BackendServer string
	Index         int
}

// Backend is the slot configuration of a backend server of this failure domain.
type Backend struct {
	ID      string
	Service string
	Slots   int
}

// Availability is the state of this host's slots of one backend server.
type Availability struct {
	BackendServer string
	// Usable is the number of slots that this host may use now.
	Usable int
	// InUse is the number of usable slots that are in use.
	InUse int
}

// Options holds the time bounds on which the rules for the use of slots depend.
type Options struct {
	// HostListMaxLag is the longest time by which the platform's host list lags behind the state of the hosts.
	HostListMaxLag time.Duration
	// EvidenceMaxAge is the age from which a fetched list is no longer evidence.
	EvidenceMaxAge time.Duration
	// MaxRequest is the longest time from Take until the backend server no longer processes the request. It includes
	// the time that a backend server needs to detect a cancelled request.
	MaxRequest time.Duration
	// PauseLimit is the longest pause of this process after which it keeps its slots. The platform must not remove a
	// host from its list because of a shorter pause.
	PauseLimit time.Duration
}

// JoinRequest asks a peer of the failure domain to stop using the slots whose home is the new incarnation.
type JoinRequest struct {
	From        string
	Incarnation membership.Incarnation
}

// JoinReply is the response to a JoinRequest.
type JoinReply struct {
	// Acknowledged is true once no request of the responding peer runs on a slot whose home is the new incarnation.
	Acknowledged bool
	// Incarnation is the incarnation of the responding peer.
	Incarnation membership.Incarnation
	// Requested is the incarnation of the JoinRequest. The response is valid only for this incarnation.
	Requested membership.Incarnation
	// PredecessorGone is true if the responding peer had confirmed the earlier incarnations of the requester gone when
	// it received the first message of this one. Then none of their requests is still running.
	PredecessorGone bool
}

// Ticket limits the age of a departure notice. The receiver of the notice issues the ticket, so the time of issue and the
// time of receipt are read from the same clock.
type Ticket struct {
	// Incarnation is the incarnation of the issuer.
	Incarnation membership.Incarnation
	// Number increases with each ticket of the issuer.
	Number uint64
}
