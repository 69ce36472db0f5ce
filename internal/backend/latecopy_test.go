package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// copyServer answers each request, and sends a second answer to the first request of a connection when the test says.
type copyServer struct {
	// name is the header in which answers name their request; empty for a server that does not.
	name string
	// copy is the second answer with a place for the head's field that names the request.
	copy string
	// after is the time from the first answer to its copy; negative: just before the answer to the next request.
	after time.Duration
}

func (s copyServer) field(id string) string {
	if s.name == "" {
		return ""
	}
	return s.name + ": " + id + "\r\n"
}

func (s copyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	first := ""
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(backend.HeaderRequestID)
		if first != "" && s.after < 0 {
			_, _ = fmt.Fprintf(conn, s.copy, s.field(first))
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", s.field(id), len(id), id)
		if first == "" && s.after >= 0 {
			time.Sleep(s.after)
			_, _ = fmt.Fprintf(conn, s.copy, s.field(id))
		}
		first = id
	}
}

// A server that sent a second copy of an answer late, on a connection that was in use again, must not give another caller an answer
// or a promise that is not its own.
func TestLateCopyOfAnAnswerReachesNoOtherRequest(t *testing.T) {
	copies := map[string]string{
		"answer":         "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\ncopy",
		"refusal":        "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"empty answer":   "HTTP/1.1 204 No Content\r\n%s\r\n",
		"unchanged":      "HTTP/1.1 304 Not Modified\r\n%s\r\n",
		"interim answer": "HTTP/1.1 103 Early Hints\r\n%s\r\n",
		"part of one":    "HTTP/1.1 200 OK\r\n%sContent-Len",
	}
	times := map[string]time.Duration{"with the answer": 0, "1 ms later": time.Millisecond, "while idle": 30 * time.Millisecond, "before the next answer": -1}
	echoing := backend.OwnProtocol()
	echoing.EchoRequired, echoing.RecentIdle = true, time.Minute
	for protocolName, protocol := range map[string]backend.Protocol{"own": backend.OwnProtocol(), "echo required": echoing} {
		for copyName, text := range copies {
			for timeName, after := range times {
				for _, named := range []bool{true, false} {
					if !named && protocol.EchoRequired {
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%s/named=%v", protocolName, copyName, timeName, named), func(t *testing.T) {
						t.Parallel()
						s := copyServer{copy: text, after: after}
						if named {
							s.name = backend.HeaderRequestID
						}
						checkCopies(t, protocol, s)
					})
				}
			}
		}
	}
}

func checkCopies(t *testing.T, protocol backend.Protocol, s copyServer) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listen.Close() })
	go func() {
		for {
			conn, err := listen.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	client := backend.NewClientFor(protocol)
	t.Cleanup(client.Close)
	service := &policy.Service{Name: "s", MaxAnswerBytes: 1 << 20, Shed: policy.Shed{Status: 503, Header: "X-Not-Run"}}
	target := &policy.BackendServer{ID: "b", Service: "s", Address: netip.MustParseAddrPort(listen.Addr().String()), Slots: 4, MaxConnections: 16}
	for i := range 12 {
		id := fmt.Sprintf("request-%d", i)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		// A POST that may not be repeated uses recent connections, a GET the pooled ones.
		r := &backend.Request{ID: id, Method: http.MethodGet, Path: "/", Repeatable: i%2 == 0}
		if !r.Repeatable {
			r.Method = http.MethodPost
		}
		res := client.Do(ctx, service, target, r)
		cancel()
		switch {
		case res.Outcome == backend.Answered && (res.Status != http.StatusOK || string(res.Body) != id):
			t.Errorf("%s got %d %q, the answer to another request", id, res.Status, res.Body)
		case res.Outcome == backend.NotRun && res.BytesWritten > 0:
			t.Errorf("%s is promised not to have run: %v", id, res.Failure)
		}
		if i%3 == 2 {
			time.Sleep(40 * time.Millisecond)
		}
	}
}
