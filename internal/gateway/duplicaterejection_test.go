package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
)

// A server that sheds a request although it has a free slot gets the request again. Guards against a late duplicate of the
// rejection: it has the same request id, so on the same connection it is taken for the rejection of the second attempt while that
// attempt runs.
func TestDuplicateRejectionDoesNotRejectNextAttempt(t *testing.T) {
	var mu sync.Mutex
	requestsPerConn := map[net.Conn]int{}
	runs := 0
	s := newRawServer(t, "i-1", func(conn net.Conn, id string) {
		rejection := "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id + "\r\nX-Not-Run: 1\r\nX-Server-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n"
		mu.Lock()
		defer mu.Unlock()
		requestsPerConn[conn]++
		if requestsPerConn[conn] > 1 {
			_, _ = conn.Write([]byte(rejection))
		}
		if len(requestsPerConn) == 1 && requestsPerConn[conn] == 1 {
			_, _ = conn.Write([]byte(rejection))
			return
		}
		runs++
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 4\r\n\r\ngood", responseHead(id))
	})
	h := startHost(t, s).configure()
	res, body := h.send("POST", "/pay/x", "id-1", "")
	mu.Lock()
	defer mu.Unlock()
	if runs > 0 && (res.StatusCode != http.StatusOK || body != "good") {
		t.Errorf("the request ran %d times, and its caller got %d %s", runs, res.StatusCode, body)
	}
	if runs != 1 {
		t.Errorf("the request ran %d times, want once", runs)
	}
}
