package hostlist_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a broken response that counts as a list, or as a statement that the list has not changed: its status is invalid, or the name
// of a field in its head has a blank or a control byte. Hosts that left the list would be missed.
func TestBrokenResponseIsNoList(t *testing.T) {
	const list = `{"hosts":{"h1":"live"}}`
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Field: v\r\n", "HTTP/1.1 200 OK\r\nX-Field : v\r\n", "HTTP/1.1 200 OK\r\nDate: d\r\n X-Field: v\r\n",
		"HTTP/1.1 200 OK\r\nX\x01Field: v\r\n", "HTTP/1.1 304 Not Modified\r\nX Field: v\r\n", "HTTP/1.1 304 Not Modified\r\nDate: d\r\n X-Field: v\r\n",
	} {
		for _, later := range []bool{false, true} {
			responses := []string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(list), list)}
			if later {
				responses = append([]string{fmt.Sprintf("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: %d\r\n\r\n%s", len(list), list)}, responses...)
			}
			var sent atomic.Int64
			source := newSource(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write([]byte(responses[sent.Add(1)-1]))
			}))
			if later {
				if _, err := source.Fetch(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			if got, err := source.Fetch(context.Background()); err == nil {
				t.Errorf("%q, after a list %v: got %v, want an error", head, later, got.Hosts)
			}
		}
	}
}
