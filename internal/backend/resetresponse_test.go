package backend_test

import (
	"bufio"
	"cmp"
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
)

// earlyServer responds to a request before it has read the body, and then ends the connection. To the request "first" it sends a whole response.
type earlyServer struct {
	// status is the status of the response; empty for 200.
	status string
	// framing is the header field that frames the body, with its line end; empty for a response that ends with the connection.
	framing string
	// body is sent after the head.
	body string
	// readBytes is the number of bytes of the request's body that are read before the response.
	readBytes int64
	// delay is the time from the response to the end of the connection.
	delay time.Duration
	// end ends the connection.
	end func(conn *net.TCPConn, request io.Reader)
}

func (s earlyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(backend.HeaderRequestID)
		fields := fmt.Sprintf("%s: %s\r\n", backend.HeaderRequestID, id)
		if id == "first" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, r.Body)
			continue
		}
		head := "HTTP/1.1 " + cmp.Or(s.status, "200") + " OK\r\n" + fields
		_, _ = io.CopyN(io.Discard, r.Body, s.readBytes)
		_, _ = io.WriteString(conn, head+s.framing+"\r\n"+s.body)
		time.Sleep(s.delay)
		s.end(conn.(*net.TCPConn), r.Body)
		return
	}
}

func resetConn(conn *net.TCPConn, _ io.Reader) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// finishRequest ends the response in order and reads the rest of the request.
func finishRequest(conn *net.TCPConn, request io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, request)
}

// uploadKinds are requests that use different kinds of connections.
var uploadKinds = map[string]backend.Request{
	"repeatable": {Repeatable: true}, "not repeatable": {}, "new connection": {NewConnection: true}, "single use": {SingleUse: true},
}

// upload makes an attempt with a body on a new client. If second is true, it makes another one before, after which a connection can be reused.
// For the transport of single-use connections, the server has to respond early to that one.
func upload(t *testing.T, s earlyServer, req backend.Request, size int, second bool) backend.Result {
	t.Helper()
	protocol := backend.OwnProtocol()
	protocol.EchoRequired, protocol.AllowUnframed, protocol.MaxReuseIdle = true, true, time.Minute
	client := backend.NewClientFor(protocol)
	client.SetConnectTimeout(testTimeout)
	defer client.Close()
	service := &policy.Service{Name: "s", MaxResponseBytes: 1 << 20}
	target := &policy.BackendServer{ID: "b", Service: "s", Address: listenAndServe(t, s.serve), Slots: 4, MaxConnections: 16}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req.Method, req.Path = http.MethodPost, "/"
	if second {
		first := req
		first.ID = "first"
		if req.SingleUse {
			first.Body = make([]byte, size)
		}
		if res := client.Do(ctx, service, target, &first); res.Outcome != backend.Completed {
			t.Fatalf("the first request: %v", res.Failure)
		}
	}
	req.ID, req.Body = "request-1", make([]byte, size)
	return client.Do(ctx, service, target, &req)
}

// Guards against the part of a response that a client takes for the whole one: a server responds to an upload before it has read it, without
// a length, and resets the connection after a part of the body. The kernel reports the reset only once. If the write of the upload got
// it, the read of the body returned io.EOF as after an orderly close.
func TestResponseWithoutLengthIsIncompleteIfResetDuringUpload(t *testing.T) {
	const tries = 10
	for kind, req := range uploadKinds {
		for _, second := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/second=%v", kind, second), func(t *testing.T) {
				t.Parallel()
				complete, total := 0, 0
				for _, body := range []string{"", "x", strings.Repeat("x", 60<<10)} {
					for _, readBytes := range []int64{0, 100 << 10} {
						for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
							for range tries {
								total++
								s := earlyServer{body: body, readBytes: readBytes, delay: delay, end: resetConn}
								if res := upload(t, s, req, 8<<20, second); res.Outcome != backend.Unknown {
									complete++
									t.Logf("%d bytes sent, %d read, reset after %v: %v with %d bytes, %v", len(body), readBytes, delay, res.Outcome, len(res.Body), res.Failure)
								}
							}
						}
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d responses that were reset count as complete", complete, total)
				}
			})
		}
	}
}

// Guards against whole responses that are dropped because the upload was not written to its end. The server ends its response in order and
// reads on.
func TestWholeResponseDuringUploadIsComplete(t *testing.T) {
	const body = "0123456789"
	for name, s := range map[string]earlyServer{
		"no length":          {body: body},
		"no length, no body": {},
		"length":             {framing: "Content-Length: 10\r\n", body: body},
		"chunks":             {framing: "Transfer-Encoding: chunked\r\n", body: "a\r\n" + body + "\r\n0\r\n\r\n"},
	} {
		s.end = finishRequest
		for kind, req := range uploadKinds {
			for _, second := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/second=%v", name, kind, second), func(t *testing.T) {
					t.Parallel()
					want := body
					if s.body == "" {
						want = ""
					}
					if res := upload(t, s, req, 8<<20, second); res.Outcome != backend.Completed || string(res.Body) != want {
						t.Errorf("got %v %q, %v", res.Outcome, res.Body, res.Failure)
					}
				})
			}
		}
	}
}
