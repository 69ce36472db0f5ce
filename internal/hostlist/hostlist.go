// Package hostlist is a client for the platform's list of live and leaving hosts.
package hostlist

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("hostlist")

// State is the state of a host according to the platform.
type State string

// States of a listed host. A host that is gone is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// List is one response of the platform. It lags behind the actual state of the hosts.
type List struct {
	// Hosts maps ids of entry hosts and of backend servers to their states. It is read-only, because successive lists may
	// share the map.
	Hosts map[string]State
	// FetchedAt is the local time at which the request for the list was sent.
	FetchedAt time.Time
}

// Source provides the platform's list.
type Source interface {
	// Fetch reads the list. A list without hosts is an error, because it cannot be distinguished from a fault.
	Fetch(ctx context.Context) (List, error)
}
