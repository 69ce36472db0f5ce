package backend

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopByHop lists the hop-by-hop header fields (RFC 9110, section 7.6.1), and Expect, because the client does not wait for an
// interim response.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the hop-by-hop fields, including those that the Connection field names.
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

// requestHeader returns the request header of an attempt.
func (p *Protocol) requestHeader(req *Request, remaining time.Duration) http.Header {
	h := req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeHopByHop(h)
	h.Del("Content-Length")
	h.Del("Host")
	if req.ReplaceCustomer {
		h.Del(p.KeyHeader)
		h.Del(p.CustomerHeader)
		if req.Customer != "" {
			h.Set(p.CustomerHeader, req.Customer)
		}
	}
	h.Set(p.RequestIDHeader, req.ID)
	h.Set(p.TimeoutHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if p.ExpectServerHeader != "" {
		h.Set(p.ExpectServerHeader, req.ServerID)
	}
	if req.TraceParent != "" {
		h.Set(HeaderTraceParent, req.TraceParent)
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its default.
		h.Set("User-Agent", "")
	}
	return h
}

// responseHeader returns the header that is passed on to the caller, and whether the response says that the backend server is
// leaving.
func (p *Protocol) responseHeader(h http.Header) (clean http.Header, draining bool) {
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
