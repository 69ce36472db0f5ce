package lookup

import "github.com/foxtailtack/foxtailtack/internal/membership"

// HostView is the known state of an entry host for one service. The zero value stands for a host from which nothing has been
// received yet.
type HostView struct {
	State       membership.State
	Incarnation membership.Incarnation
	// Reachable is true while the information about the host is current.
	Reachable bool
	// Usable is the number of slots of the service that the host may use.
	Usable int
	// Weight is the damped share, 0 to 1, of the host's slots that callers should use. 1 means full weight.
	Weight float64
}

// View provides the liveness of entry hosts. Its methods must be safe for concurrent use.
type View interface {
	// Generation increases whenever the state, reachability or usable slots of a host change. A change of Weight alone
	// need not increase it.
	Generation() uint64
	// Host returns the known state of a host for a service.
	Host(id, service string) HostView
	// Overflow returns the share, 0 to 1, of a failure domain's callers that goes to the other failure domains of its
	// region, because the failure domain is full and the others are not. A change need not increase the generation.
	Overflow(failureDomain, service string) float64
}

// acceptsCallers reports whether callers may be sent to the host.
func (v HostView) acceptsCallers() bool {
	return v.State == membership.Serving && v.Reachable
}

// isLeaving reports whether the host has announced that it is stopping. An unreachable host stays leaving until a message of
// a new incarnation is received.
func (v HostView) isLeaving() bool { return v.State == membership.Leaving }
