package httpconn_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
)

// readResponses returns what a client reads if the peer sends each text in pieces of a size after a request.
func readResponses(t *testing.T, size int, texts ...string) (string, error) {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	conn := httpconn.New(near)
	var got strings.Builder
	for _, text := range texts {
		conn.ExpectResponse()
		go func() {
			for rest := text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
				if _, err := io.WriteString(far, rest[:min(size, len(rest))]); err != nil {
					return
				}
			}
		}()
		for begin := got.Len(); got.Len() < begin+len(text); {
			buffer := make([]byte, 4096)
			n, err := conn.Read(buffer)
			got.Write(buffer[:n])
			if err != nil {
				return got.String(), err
			}
		}
	}
	return got.String(), nil
}

// Guards against valid responses that are rejected, and invalid ones that are not, because of how their bytes arrive or of what was sent
// before on the connection: a body must not be taken for a head, and each head must be checked.
func TestOnlyHeadsAreChecked(t *testing.T) {
	const valid, invalid = "HTTP/1.1 200 OK\r\nX-Field: v: w \t\r\nEmpty:\r\n\r\n", "HTTP/1.1 200 OK\r\nX Field: v\r\n\r\n"
	const body = " x y\r\n\n: z\r\nHTTP/1.1 200 OK\r\nX Field: v\r\n\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for _, c := range []struct {
		name  string
		texts []string
		valid bool
	}{
		{"one", []string{valid + body}, true},
		{"several", []string{valid + body, valid, valid + body}, true},
		{"bare line feeds", []string{strings.ReplaceAll(valid, "\r", "") + body}, true},
		{"interim", []string{interim + interim + valid + body}, true},
		{"switching protocols", []string{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + body}, true},
		{"no fields", []string{"HTTP/1.1 200 OK\r\n\r\n" + body}, true},
		{"invalid", []string{invalid}, false},
		{"second invalid", []string{valid + body, invalid}, false},
		{"invalid interim", []string{strings.Replace(interim, "Link", "Li nk", 1) + valid}, false},
		{"invalid after interim", []string{interim + invalid}, false},
		{"folded line", []string{"HTTP/1.1 200 OK\r\nX-Field: v\r\n w\r\n\r\n"}, false},
		{"chunks before HTTP/1.1", []string{"HTTP/1.0 200 OK\r\nX-Field: v\r\ntransfer-encoding:chunked\r\n\r\n"}, false},
		{"chunks in HTTP/0.1", []string{valid + body, "HTTP/0.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, false},
		{"chunks in an interim response before HTTP/1.1", []string{"HTTP/1.0 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + valid}, false},
		{"chunks", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, valid}, true},
		{"chunks after an interim response before HTTP/1.1", []string{"HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body}, true},
		{"other fields before HTTP/1.1", []string{"HTTP/1.0 200 OK\r\nTransfer-Encodings: x\r\nX-Transfer-Encoding: x\r\nTransfer: x\r\nContent-Length: 3\r\n\r\nabc"}, true},
		{"line feed ends the head", []string{"HTTP/1.1 200 OK\r\nX-Field: v\r\n\n"}, false},
	} {
		for _, size := range []int{1, 2, 7, 4096} {
			got, err := readResponses(t, size, c.texts...)
			if c.valid && (err != nil || got != strings.Join(c.texts, "")) {
				t.Errorf("%s in pieces of %d bytes: %v after %q", c.name, size, err, got)
			}
			if !c.valid && !errors.Is(err, httpconn.ErrInvalidHead) {
				t.Errorf("%s in pieces of %d bytes: error %v after %q, want an invalid head", c.name, size, err, got)
			}
		}
	}
}
