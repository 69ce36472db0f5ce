package backend_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
)

// Guards against a response with an invalid status, such as 000, that counts as the server's. net/http accepts any three digits.
func TestResponseWithInvalidStatusIsNoResponse(t *testing.T) {
	const id, body = "request-1", "0123456789"
	echoing := backend.OwnProtocol()
	echoing.EchoRequired, echoing.AllowUnframed, echoing.MaxReuseIdle = true, true, time.Minute
	for protocolName, protocol := range map[string]backend.Protocol{"own": backend.OwnProtocol(), "echo required": echoing} {
		for framing, end := range map[string]string{
			"length": "Content-Length: 10\r\n\r\n" + body, "chunks": "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
			"no length": "\r\n" + body, "empty": "Content-Length: 0\r\n\r\n", "shed": "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodPut} {
				for _, reused := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/reused=%v", protocolName, framing, method, reused), func(t *testing.T) {
						t.Parallel()
						for _, status := range []string{"000", "001", "099", "020", "101", "+00", "-00", "+20", "0x0", "00", "0000", ""} {
							response := "HTTP/1.1 " + status + " Internal Server Error\r\n" + backend.HeaderRequestID + ": ID\r\n" + end
							if res := requestText(t, protocol, response, method, id, reused); res.Outcome != backend.Unknown {
								t.Errorf("a response with the status %q is %v: status %d, body %q", status, res.Outcome, res.Status, res.Body)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against the same during an upload: the response arrives before the server has read the body.
func TestEarlyResponseWithInvalidStatusIsNoResponse(t *testing.T) {
	for kind, req := range uploadKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for _, reset := range []bool{false, true} {
				s := earlyServer{status: "000", body: "0123456789", end: finishRequest}
				if reset {
					s.end = resetConn
				}
				if res := upload(t, s, req, 8<<20, false); res.Outcome != backend.Unknown {
					t.Errorf("reset %v: %v with status %d, body %q", reset, res.Outcome, res.Status, res.Body)
				}
			}
		})
	}
}
