package backend

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopByHop lists the fields that belong to one connection (RFC 9110, section 7.6.1), and Expect, which the client
// does not wait for.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the fields of one connection, also those that Connection names.
func removeHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// outgoingHeader returns the header of an attempt.
func (p *Protocol) outgoingHeader(req *Request, remaining time.Duration) http.Header {
	h := req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeHopByHop(h)
	h.Del("Content-Length")
	h.Del("Host")
	h.Set(p.RequestIDHeader, req.ID)
	h.Set(p.TimeoutHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if p.ExpectServerHeader != "" {
		h.Set(p.ExpectServerHeader, req.ServerID)
	}
	if req.TraceParent != "" {
		h.Set(HeaderTraceParent, req.TraceParent)
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	return h
}

// answerHeader returns the header that goes on to the caller, and whether the backend server says that it is leaving.
func (p *Protocol) answerHeader(h http.Header) (clean http.Header, draining bool) {
	clean = h.Clone()
	removeHopByHop(clean)
	if p.DrainingHeader == "" {
		return clean, false
	}
	value := h.Get(p.DrainingHeader)
	clean.Del(p.DrainingHeader)
	clean.Del(p.RequestIDHeader)
	return clean, value != "" && !strings.EqualFold(value, "false")
}
