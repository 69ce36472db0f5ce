// Package gateway implements an entry host on the operators' platform. It answers look-ups, forwards requests of callers to the
// backend servers that package placement chooses, and completes running requests before it stops.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/placement"
)

// Error is the class of errors of this package.
var Error = errs.Class("gateway")

// ErrLeaseEnded is returned if a lease of the store has expired or was ended.
var ErrLeaseEnded = errors.New("lease has ended")

// Dialect translates between this package and the platform's HTTP headers and bodies for callers and backend servers.
type Dialect interface {
	// Protocol returns the headers that entry hosts and backend servers exchange.
	Protocol() backend.Protocol
	// Request reads the headers of a caller's request.
	Request(r *http.Request) RequestInfo
	// Response reads the status and the headers of a backend server's response.
	Response(status int, header http.Header) ResponseInfo
	// Lookup reads the query of a look-up.
	Lookup(r *http.Request) LookupQuery
	// EncodeLookup encodes the response to a look-up.
	EncodeLookup(addresses []netip.AddrPort, ttl time.Duration) ([]byte, error)
}

// RequestInfo holds the values of a request's headers.
type RequestInfo struct {
	// ID is unique for each request, also if a caller sends the same content again. It is empty if the caller sent none.
	ID string
	// Object is the key of the object that the request concerns, or empty.
	Object string
	// Key is the digest of the customer's key that the request has if HasKey is true.
	Key    catalog.KeyDigest
	HasKey bool
	// CallerTimeout is the time for which the caller waits, or zero if the caller did not state it.
	CallerTimeout time.Duration
}

// ResponseInfo holds the values of a response's headers.
type ResponseInfo struct {
	// Stamped is true if the response was produced by a backend server.
	Stamped bool
	// Load is the load that the backend server reports if HasLoad is true.
	Load    Load
	HasLoad bool
	// Notice is what the backend server reports about itself, nil if another server responded.
	Notice *placement.Notice
	// Malformed lists the headers that cannot be decoded, with their values.
	Malformed []string
}

// Load is the load of a backend server in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Speed is how long work currently takes on the machine of the server if HasSpeed is true: 100 is normal, 250 means 2.5 times as long.
	Speed    float64
	HasSpeed bool
}

// LookupQuery holds the parameters of a client's look-up of host addresses.
type LookupQuery struct {
	HostName      string
	Region        string
	FailureDomain string
}

// Lease is a lease of the store. The store assigns ids again after it was restored from an older copy, so a lease belongs to the era in
// which it was granted. The zero value is no lease.
type Lease struct {
	ID  uint64
	Era catalog.Era
}

// Registrar registers this host in the store. Each call has a time limit, even if its context has no deadline. A call that fails
// without a response may have been carried out.
type Registrar interface {
	// Grant creates a lease that expires after ttl.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts the time to live of a lease. A lease has ended if the store responds in a later era. Errors: ErrLeaseEnded.
	Renew(ctx context.Context, lease Lease) error
	// End ends a lease and removes its entries. Errors: ErrLeaseEnded.
	End(ctx context.Context, lease Lease) error
	// PutHost writes the entry of a host, which is removed when the lease ends. Errors: ErrLeaseEnded.
	PutHost(ctx context.Context, host *catalog.Host, lease Lease) error
}
