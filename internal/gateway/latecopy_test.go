package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
)

// A server with room that refuses a request gets it again. A late copy of the refusal bears the request's id, so on the same connection
// it was taken for the promise that the second attempt had not run, while that ran.
func TestLateCopyOfARefusalIsNoPromise(t *testing.T) {
	var mu sync.Mutex
	asked := map[net.Conn]int{}
	runs := 0
	s := newRawServer(t, "i-1", func(conn net.Conn, id string) {
		refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id + "\r\nX-Not-Run: 1\r\nX-Server-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n"
		mu.Lock()
		defer mu.Unlock()
		asked[conn]++
		if asked[conn] > 1 {
			_, _ = conn.Write([]byte(refusal))
		}
		if len(asked) == 1 && asked[conn] == 1 {
			_, _ = conn.Write([]byte(refusal))
			return
		}
		runs++
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 4\r\n\r\ngood", head(id))
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
