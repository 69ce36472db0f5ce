package httpconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that uses connections of type Conn.
type Transport struct{ *http.Transport }

// NewTransport changes a transport that has not been used yet, so that it uses connections of type Conn.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
	return &Transport{transport}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.ExpectResponse()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
