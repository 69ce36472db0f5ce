package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// serveText returns a server that sends a response text to each request and keeps the connection open. ID in the text stands for the request
// id. To the request "first" it sends a valid response.
func serveText(response string) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id, text := r.Header.Get(backend.HeaderRequestID), response
			if id == "first" {
				text = "HTTP/1.1 200 OK\r\n" + backend.HeaderRequestID + ": ID\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", id))
			if !strings.Contains(text, "Content-Length: ") && !strings.Contains(text, "chunked") {
				return
			}
		}
	}
}

// brokenNames returns a field name with a blank or a control byte before it, in it and after it, and in place of its first, a middle and its
// last byte.
func brokenNames(name string) []string {
	var names []string
	for b := range byte(0x80) {
		if b > ' ' && b < 0x7f {
			continue
		}
		bad := string([]byte{b})
		middle := len(name) / 2
		names = append(names, bad+name, name[:middle]+bad+name[middle:], name+bad, bad+name[1:], name[:middle]+bad+name[middle+1:], name[:len(name)-1]+bad)
	}
	return names
}

// Guards against a broken response that counts as the server's: the name of a field in its head has a blank or a control byte. net/http keeps
// a name with a blank, which is then the name of another field, takes a line that begins with a blank for a part of the value before it, and
// one that begins with a line feed for the end of the head. The body is then framed by other fields than those that the server sent.
func TestResponseWithInvalidFieldNameIsNoResponse(t *testing.T) {
	const id = "request-1"
	protocol := backend.OwnProtocol()
	protocol.AllowUnframed, protocol.MaxReuseIdle = true, time.Minute
	head := func(status string) string {
		return "HTTP/1.1 " + status + "\r\n" + backend.HeaderRequestID + ": ID\r\n"
	}
	const length, valid, body = "Content-Length: 10\r\n", "X-Valid: v\r\n", "0123456789"
	for name, c := range map[string]struct {
		// method is the request's. before and after are the parts of the response before and after the name of the broken field.
		method, before, field, after string
	}{
		"other field":           {"GET", head("200 OK") + length + valid, "X-Stamp", ": s\r\n" + valid + "\r\n" + body},
		"last field":            {"POST", head("200 OK") + length + valid, "X-Stamp", ": s\r\n\r\n" + body},
		"first field":           {"GET", "HTTP/1.1 200 OK\r\n", "X-Stamp", ": s\r\n" + backend.HeaderRequestID + ": ID\r\nContent-Length: 10\r\n\r\n" + body},
		"length":                {"GET", head("200 OK") + valid, "Content-Length", ": 10\r\n\r\n" + body + "more"},
		"chunks":                {"POST", head("200 OK") + valid, "Transfer-Encoding", ": chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n"},
		"no length":             {"GET", head("200 OK") + valid, "X-Stamp", ": s\r\n" + valid + "\r\n" + body},
		"no value":              {"GET", head("200 OK") + length + valid, "X-Stamp", ":\r\n" + valid + "\r\n" + body},
		"no body":               {"GET", head("204 No Content") + valid, "X-Stamp", ": s\r\nContent-Length: 0\r\n\r\n"},
		"response to HEAD":      {"HEAD", head("200 OK") + length + valid, "X-Stamp", ": s\r\n" + valid + "\r\n"},
		"failure":               {"POST", head("500 Internal Server Error") + length + valid, "X-Stamp", ": s\r\n" + valid + "\r\n" + body},
		"after interim":         {"GET", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head("200 OK") + length + valid, "X-Stamp", ": s\r\n" + valid + "\r\n" + body},
		"request id, shed":      {"POST", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n", backend.HeaderRequestID, ": ID\r\n" + valid + "\r\n"},
		"connection of a shed":  {"POST", head("503 Service Unavailable") + "Content-Length: 0\r\nX-Not-Run: 1\r\n", "Connection", ": close\r\n" + valid + "\r\n"},
		"bare line feeds":       {"GET", strings.ReplaceAll(head("200 OK")+length+valid, "\r", ""), "X-Stamp", ": s\nX-Valid: v\n\n" + body},
		"response to an upload": {"PUT", head("200 OK") + length + valid, "X-Stamp", ": s\r\n" + valid + "\r\n" + body},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%v", name, reused), func(t *testing.T) {
				t.Parallel()
				for _, field := range brokenNames(c.field) {
					if name == "bare line feeds" && field[0] == '\n' {
						// The empty line before the name is a valid end of the head.
						continue
					}
					res := requestText(t, protocol, c.before+field+c.after, c.method, id, reused)
					if res.Outcome != backend.Unknown {
						t.Errorf("a response with the field name %q is %v: status %d, header %v, body %q", field, res.Outcome, res.Status, res.Header, res.Body)
					}
				}
				if res := requestText(t, protocol, c.before+c.field+c.after, c.method, id, reused); res.Outcome == backend.Unknown {
					t.Errorf("a valid response is %v: %v", res.Outcome, res.Failure)
				}
			})
		}
	}
}

// requestText makes an attempt on a server that responds with a text, after another one if reused is true.
func requestText(t *testing.T, protocol backend.Protocol, response, method, id string, reused bool) backend.Result {
	t.Helper()
	client := backend.NewClientFor(protocol)
	client.SetConnectTimeout(testTimeout)
	defer client.Close()
	service := &policy.Service{Name: "s", MaxResponseBytes: 1 << 20, Shed: policy.Shed{Status: http.StatusServiceUnavailable, Header: "X-Not-Run"}}
	target := &policy.BackendServer{ID: "b", Service: "s", Address: listenAndServe(t, serveText(response)), Slots: 4, MaxConnections: 16}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if reused {
		client.Do(ctx, service, target, &backend.Request{ID: "first", Method: http.MethodGet, Path: "/", Repeatable: true})
	}
	req := &backend.Request{ID: id, Method: method, Path: "/", Repeatable: true}
	if method == http.MethodPut {
		req.Body = make([]byte, 100<<10)
	}
	return client.Do(ctx, service, target, req)
}

// Guards against an attempt that outlasts its deadline because the server sent an invalid head and stopped to read the upload: the connection
// must be reset, not kept open for the rest of the upload.
func TestInvalidHeadDuringUploadEndsAttempt(t *testing.T) {
	// hung is far above the time that an attempt takes, and below that for which the rest of an upload is written after a response.
	const hung = 8 * time.Second
	for _, field := range []string{"X Field: v", "X\x01Field: v"} {
		for kind, req := range uploadKinds {
			t.Run(fmt.Sprintf("%q/%s", field, kind), func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				address := listenAndServe(t, func(conn net.Conn) {
					defer func() { _ = conn.Close() }()
					_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
						time.Sleep(10 * time.Millisecond)
						_, _ = io.WriteString(conn, field+"\r\nContent-Length: 0\r\n\r\n")
					}
					<-ended
				})
				client := backend.NewClient()
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), hung/8)
				defer cancel()
				req.ID, req.Method, req.Path, req.Body = "request-1", http.MethodPost, "/", make([]byte, 16<<20)
				target := &policy.BackendServer{ID: "b", Service: "s", Address: address, Slots: 4, MaxConnections: 16}
				res := client.Do(ctx, &policy.Service{Name: "s", MaxResponseBytes: 1 << 20}, target, &req)
				close(ended)
				if res.Outcome != backend.Unknown || res.Failure.Code != result.IncompleteResponse || res.Duration >= hung {
					t.Errorf("%v after %v: %v", res.Outcome, res.Duration, res.Failure)
				}
			})
		}
	}
}
