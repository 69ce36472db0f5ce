package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a payment that runs without its body: net/http ignores chunks before HTTP/1.1 and reads an empty body.
func TestChunkedRequestBeforeHTTP11IsRejected(t *testing.T) {
	s := newServer(t, "i-1", nil)
	h := startHost(t, s).configure()
	for _, c := range []struct {
		method, path, fields, body string
		want                       int
	}{
		{"POST", "/pay/x", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", http.StatusBadRequest},
		{"POST", "/pay/x", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", http.StatusBadRequest},
		{"PUT", "/look/x", "", "", http.StatusBadRequest},
		{"POST", "/pay/x", "Content-Length: 4\r\n", "body", http.StatusOK},
		{"POST", "/pay/x", "Content-Length: 0\r\n", "", http.StatusOK},
		{"GET", "/look/x", "", "", http.StatusOK},
	} {
		before := s.count()
		conn := h.connect()
		_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: shop.example\r\nX-Request-Id: id\r\nX-Deadline-Ms: 2500\r\n%s\r\n%s", c.method, c.path, c.fields, c.body)
		if got := conn.status(); got != c.want {
			t.Errorf("%s with %q: status %d, want %d", c.method, c.fields, got, c.want)
		}
		s.mu.Lock()
		bodies := s.bodies[before:]
		s.mu.Unlock()
		if (len(bodies) > 0) != (c.want == http.StatusOK) {
			t.Errorf("%s with %q: the server got %d requests", c.method, c.fields, len(bodies))
		} else if len(bodies) > 0 && bodies[0] != c.body {
			t.Errorf("%s with %q: the server got the body %q, want %q", c.method, c.fields, bodies[0], c.body)
		}
	}
}
