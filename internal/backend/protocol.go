package backend

import (
	"net/http"
	"time"
)

// Protocol names the headers and promises of a protocol between entry hosts and backend servers.
type Protocol struct {
	// RequestIDHeader carries the request id both ways.
	RequestIDHeader string
	// TimeoutHeader carries the remaining time in whole milliseconds.
	TimeoutHeader string
	// ExpectServerHeader carries the id of the backend server that may run the request; empty if the protocol has none.
	ExpectServerHeader string
	// DrainingHeader on an answer says that the backend server is leaving; empty if the protocol has none. With it the
	// request id stays between the hosts.
	DrainingHeader string
	// EchoRequired is true if an answer without the request id belongs to no request.
	EchoRequired bool
	// NotRun tells by status and header whether an answer promises that the request did not run. Nil uses the policy's rule.
	NotRun func(status int, header http.Header) bool
	// AllowUnframed is true if the end of the connection may mark the end of an answer. A reset never does.
	AllowUnframed bool
	// RecentIdle is the longest time that a connection may be idle before work that must not be repeated uses it again. At 0
	// such work opens a connection for each attempt.
	RecentIdle time.Duration
}

// OwnProtocol returns the protocol that the product defines for backend servers.
func OwnProtocol() Protocol {
	return Protocol{RequestIDHeader: HeaderRequestID, TimeoutHeader: HeaderTimeout, DrainingHeader: HeaderDraining}
}

// ownProtocol is shared by the parts that speak nothing else.
var ownProtocol = OwnProtocol()
