package operator

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Guards against a broken response that counts as that of an entry host: the name of a field in its head has a blank or a control byte.
func TestResponseWithInvalidFieldNameIsAnError(t *testing.T) {
	for field, valid := range map[string]bool{"X-Field: v": true, "X Field: v": false, "X-Field : v": false, " X-Field: v": false, "X\x03Field: v": false, "\nX-Field: v": false} {
		listen, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listen.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nDate: d\r\n%s\r\nContent-Length: 2\r\n\r\n{}", field)
		}()
		response, err := sendTo(t.Context(), netip.MustParseAddrPort(listen.Addr().String()), "token", apiRequest{method: http.MethodGet, path: "/"})
		if valid != (err == nil) {
			t.Errorf("field %q: got %+v, %v", field, response, err)
		}
		_ = listen.Close()
	}
}
