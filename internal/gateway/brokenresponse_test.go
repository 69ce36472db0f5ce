package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// newEarlyServer starts a backend server that responds to each request before it has read the body, with a part of a response without a
// length, and calls end for its connection. It counts the requests in arrived.
func newEarlyServer(t *testing.T, id string, arrived *atomic.Int64, end func(conn *net.TCPConn, request io.Reader)) *server {
	t.Helper()
	return newConnServer(t, id, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(32 << 10)
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		arrived.Add(1)
		_, _ = io.WriteString(conn, responseHead(r.Header.Get("X-Request-Id"))+"\r\nthe server's bytes")
		end(conn, r.Body)
	})
}

// startHostForUploads starts a host whose routes accept bodies of 16 MB.
func startHostForUploads(t *testing.T, servers ...*server) *host {
	t.Helper()
	h := startHost(t, servers...).configure()
	h.kv.Put("op/config", strings.NewReplacer("00000001", "00000002", `"MaxBodyBytes":100000`, `"MaxBodyBytes":16000000`).Replace(configuration))
	h.eventually("the limit of bodies", func() bool { return strings.Contains(h.log.String(), "subject=2\n") })
	return h
}

// sendUpload sends a request with a body of a size, with a length or in chunks, on a new connection. It returns the status and the body of the
// response, or the status 0 without a complete one.
func (h *host) sendUpload(path, id string, size int, chunked bool) (int, string) {
	h.t.Helper()
	conn := h.connect()
	defer func() { _ = conn.Close() }()
	framing := fmt.Sprintf("Content-Length: %d", size)
	body := strings.Repeat("x", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\n%s\r\n\r\n%s", path, id, framing, body)
	res, err := http.ReadResponse(conn.responses, nil)
	if err != nil {
		return 0, ""
	}
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(text)
}

// Guards against a part of a response that reaches the client as a complete one: a server answers an upload at once with a 200 without a
// length, sends a part of its body, and resets the connection while the upload is still being written. A payment must not be sent again.
func TestPartOfResetResponseDoesNotReachCaller(t *testing.T) {
	const tries, size = 20, 8 << 20
	for _, path := range []string{"/pay/x", "/look/x"} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked=%v", path, chunked), func(t *testing.T) {
				t.Parallel()
				var arrived atomic.Int64
				h := startHostForUploads(t, newEarlyServer(t, "i-1", &arrived, func(conn *net.TCPConn, _ io.Reader) {
					time.Sleep(20 * time.Millisecond)
					_ = conn.SetLinger(0)
				}))
				broken := 0
				for i := range tries {
					before := arrived.Load()
					status, body := h.sendUpload(path, fmt.Sprintf("id-%d", i), size, chunked)
					if status < http.StatusInternalServerError {
						broken++
						t.Logf("status %d, body %q", status, body)
					}
					if n := arrived.Load() - before; path == "/pay/x" && n > 1 {
						t.Errorf("a payment reached servers %d times", n)
					}
				}
				if broken > 0 {
					t.Errorf("%d of %d responses that were reset reach the caller", broken, tries)
				}
				if arrived.Load() < tries {
					t.Errorf("only %d of %d requests reached the server", arrived.Load(), tries)
				}
			})
		}
	}
}

// Guards against the loss of a response without a length that ends in order before its server has read the upload.
func TestWholeResponseWithoutLengthReachesCallerDuringUpload(t *testing.T) {
	for _, path := range []string{"/pay/x", "/look/x"} {
		var arrived atomic.Int64
		h := startHostForUploads(t, newEarlyServer(t, "i-1", &arrived, func(conn *net.TCPConn, request io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request)
		}))
		for _, chunked := range []bool{false, true} {
			if status, body := h.sendUpload(path, fmt.Sprintf("id-%v", chunked), 8<<20, chunked); status != http.StatusOK || body != "the server's bytes" {
				t.Errorf("%s, chunked %v: got %d %q", path, chunked, status, body)
			}
		}
	}
}

// Guards against a broken response that reaches the client: the name of a field in its head has a blank or a control byte. Sound responses of
// the same server must be delivered, also to requests behind it on their connection, and a payment must not be sent again.
func TestResponseWithInvalidFieldNameDoesNotReachCaller(t *testing.T) {
	for _, field := range []string{"X Field: v", "X-Field : v", " X-Field: v", "\tX-Field: v", "X\tField: v", "\x01X-Field: v", "X-Field\x7f: v", "\nX-Field: v", "\rX-Field: v", "Content-Encoding : gzip"} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			t.Parallel()
			var arrived atomic.Int64
			s := newRawServer(t, "i-1", func(conn net.Conn, id string) {
				if strings.HasPrefix(id, "bad") {
					arrived.Add(1)
					_, _ = fmt.Fprintf(conn, "%s%s\r\nContent-Length: 18\r\n\r\nthe server's bytes", responseHead(id), field)
					return
				}
				_, _ = fmt.Fprintf(conn, "%sContent-Length: 4\r\n\r\ngood", responseHead(id))
			})
			h := startHost(t, s).configure()
			for _, path := range []string{"/pay/x", "/look/x"} {
				arrived.Store(0)
				conn := h.connect()
				ids := []string{"good-1", "bad-1", "good-2", "bad-2", "good-3"}
				for _, id := range ids {
					conn.send("GET", path, id, 2500*time.Millisecond)
				}
				for _, id := range ids {
					want := http.StatusOK
					if strings.HasPrefix(id, "bad") {
						want = http.StatusBadGateway
					}
					if got := conn.status(); got != want {
						t.Errorf("%s: %s gets %d, want %d", path, id, got, want)
					}
				}
				if n := arrived.Load(); path == "/pay/x" && n != 2 {
					t.Errorf("2 payments reached the server %d times", n)
				}
			}
		})
	}
}
