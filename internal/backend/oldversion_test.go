package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
)

// Guards against a response whose chunk lines count as its body: one byte of the version is wrong, and net/http ignores chunks before
// HTTP/1.1. Responses of such a version that are framed by a length or the end of the connection are valid.
func TestChunkedResponseBeforeHTTP11IsNoResponse(t *testing.T) {
	const id, chunks, body = "request-1", "a\r\n0123456789\r\n0\r\n\r\n", "0123456789"
	protocol := backend.OwnProtocol()
	protocol.AllowUnframed, protocol.MaxReuseIdle = true, time.Minute
	for _, version := range []string{"HTTP/1.0", "HTTP/0.1", "HTTP/0.9"} {
		head := version + " 200 OK\r\n" + backend.HeaderRequestID + ": ID\r\n"
		for name, c := range map[string]struct {
			response string
			valid    bool
		}{
			"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
			"closed after chunks": {head + "Connection: close\r\nTransfer-Encoding: CHUNKED\r\n\r\n" + chunks, false},
			"chunks and a length": {head + "Content-Length: 20\r\ntransfer-encoding: chunked\r\n\r\n" + chunks, false},
			"other coding":        {head + "Transfer-Encoding: gzip\r\n\r\n" + body, false},
			"failure":             {version + " 500 Internal Server Error\r\n" + backend.HeaderRequestID + ": ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false},
			"length":              {head + "Content-Length: 10\r\n\r\n" + body, true},
			"closed":              {head + "\r\n" + body, true},
		} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reused=%v", version, name, reused), func(t *testing.T) {
					t.Parallel()
					for _, method := range []string{"GET", "POST"} {
						res := requestText(t, protocol, c.response, method, id, reused)
						if isResponse := res.Outcome == backend.Completed; isResponse != c.valid || isResponse && string(res.Body) != body {
							t.Errorf("%s: %v with status %d and the body %q, want a response: %v", method, res.Outcome, res.Status, res.Body, c.valid)
						}
						if !c.valid && res.Outcome != backend.Unknown {
							t.Errorf("%s: the outcome is %v, want an unknown one", method, res.Outcome)
						}
					}
				})
			}
		}
	}
}
