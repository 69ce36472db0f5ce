package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Pipelined idempotent requests on one connection must reach servers without waiting for earlier responses. Non-idempotent ones
// must wait, because their callers send them again if an earlier response closes the connection. Full servers are no reason to wait:
// a third of trinacria's status checks waited on their connection for longer than a quarter of their SLO.
func TestPipelinedRequestsRunConcurrentlyWhenIdempotent(t *testing.T) {
	for _, c := range []struct {
		path, load string
		maxRunning int64
	}{{"/look/x", "1,0,3", 3}, {"/pay/x", "1,0,3", 1}, {"/look/x", "3,3,3", 3}} {
		path, maxRunning := c.path, c.maxRunning
		var running, peak atomic.Int64
		s := newServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
			n := running.Add(1)
			defer running.Add(-1)
			if n > peak.Load() {
				peak.Store(n)
			}
			time.Sleep(200 * time.Millisecond)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Stamp", "stamp")
			w.Header().Set("X-Server-Load", c.load)
		})
		h := startHost(t, s).configure()
		h.send("GET", "/look/x", "first", "")
		conn, err := net.Dial("tcp", h.process.Address("caller_address").String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		for i := range 3 {
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: 2500\r\n\r\n", path, i)
		}
		responses := bufio.NewReader(conn)
		for i := range 3 {
			res, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			if got := res.Header.Get("X-Request-Id"); res.StatusCode != http.StatusOK || got != fmt.Sprintf("id-%d", i) {
				t.Errorf("%s: response %d has status %d and id %s", path, i, res.StatusCode, got)
			}
		}
		_ = conn.Close()
		if n := peak.Load(); n != maxRunning {
			t.Errorf("%s, load %s: %d requests at the server at once, want %d", path, c.load, n, maxRunning)
		}
	}
}

// Guards against deadlines that begin when a request's turn comes. A request that waited behind another on its connection was given its
// caller's whole timeout, so a server worked on after the caller had given up.
func TestDeadlineCountsFromArrivalBehindAnotherRequest(t *testing.T) {
	const held = 300 * time.Millisecond
	s := newServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(held)
		respond(w, r, http.StatusOK)
	})
	h := startHost(t, s).configure()
	conn, err := net.Dial("tcp", h.process.Address("caller_address").String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	for i := range 2 {
		_, _ = fmt.Fprintf(conn, "GET /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: 2500\r\n\r\n", i)
	}
	responses := bufio.NewReader(conn)
	for range 2 {
		res, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left, err := strconv.Atoi(s.requests[1].Header.Get("X-Deadline-Ms"))
	if most := 2500 - int(held.Milliseconds()); err != nil || left > most {
		t.Errorf("the second request reached the server with %d ms (%v), want %d at most", left, err, most)
	}
}

// Guards against a response with a status below 200 that is taken for the server's final one. To a request behind another on its connection
// it became a success, and to any other a panic that ended the connection with the requests behind it.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		s := newServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/look/bad") {
				time.Sleep(50 * time.Millisecond)
				respond(w, r, http.StatusOK)
				return
			}
			conn := hijack(w)
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Internal Server Error\r\nX-Request-Id: %s\r\nX-Server-Stamp: stamp\r\nContent-Length: 6\r\n\r\nfailed", status, r.Header.Get("X-Request-Id"))
		})
		h := startHost(t, s).configure()
		conn := h.connect()
		paths := []string{"/look/bad-1", "/look/good-1", "/look/bad-2", "/look/good-2"}
		for i, path := range paths {
			conn.send("GET", path, fmt.Sprintf("id-%d", i), 2500*time.Millisecond)
		}
		for _, path := range paths {
			got := conn.status()
			if got == 0 {
				t.Fatalf("status %s: no response to %s", status, path)
			}
			want := http.StatusOK
			if strings.HasPrefix(path, "/look/bad") {
				want = http.StatusBadGateway
			}
			if got != want {
				t.Errorf("status %s: %s gets %d, want %d", status, path, got, want)
			}
		}
		if strings.Contains(h.log.String(), "event=unexpected_error") {
			t.Errorf("status %s: the handling of a response panicked", status)
		}
	}
}
