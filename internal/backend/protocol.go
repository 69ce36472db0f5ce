package backend

import (
	"net/http"
	"time"
)

// Protocol describes the headers and guarantees of a protocol between entry hosts and backend servers.
type Protocol struct {
	// RequestIDHeader carries the request id in requests and responses.
	RequestIDHeader string
	// TimeoutHeader carries the remaining time in whole milliseconds.
	TimeoutHeader string
	// ExpectServerHeader carries the id of the backend server that may run the request; empty if the protocol has none.
	ExpectServerHeader string
	// KeyHeader carries the key of a customer in requests of callers, and CustomerHeader the customer's name in requests to backend
	// servers; both are empty if the protocol has no customers. See Request.ReplaceCustomer.
	KeyHeader      string
	CustomerHeader string
	// DrainingHeader on a response says that the backend server is leaving; empty if the protocol has none. If it is set, the
	// request id is also removed from the response header that the caller gets.
	DrainingHeader string
	// EchoRequired is true if a response without the request id is rejected.
	EchoRequired bool
	// NotRun reports whether a response with this status and header guarantees that the request did not run. If it is nil, the
	// policy's rule applies.
	NotRun func(status int, header http.Header) bool
	// AllowUnframed is true if the close of the connection may mark the end of a response. A reset never does.
	AllowUnframed bool
	// MaxReuseIdle is the longest idle time after which non-repeatable work may reuse a connection. If it is 0, such work opens a
	// connection for each attempt.
	MaxReuseIdle time.Duration
}

// OwnProtocol returns the protocol that the product defines for backend servers.
func OwnProtocol() Protocol {
	return Protocol{RequestIDHeader: HeaderRequestID, TimeoutHeader: HeaderTimeout, DrainingHeader: HeaderDraining}
}

// ownProtocol is the protocol of code that supports no other protocol, such as the poller.
var ownProtocol = OwnProtocol()
