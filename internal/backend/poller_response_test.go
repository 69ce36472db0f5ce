package backend

import (
	"fmt"
	"net"
	"testing"
)

// Guards against a broken response to a poll that counts as a healthy one: the name of a field in its head has a blank or a control byte. A
// server that says so that it is leaving would get further work.
func TestPollRejectsInvalidFieldName(t *testing.T) {
	for field, valid := range map[string]bool{
		HeaderDraining + ": 1": true, HeaderDraining + " : 1": false, " " + HeaderDraining + ": 1": false, "\t" + HeaderDraining + ": 1": false,
		"Foxtailtack Draining: 1": false, "\x02" + HeaderDraining + ": 1": false, "\n" + HeaderDraining + ": 1": false,
	} {
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
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Field: v\r\n%s\r\nContent-Length: 2\r\n\r\n{}", field)
		}()
		response, err := NewPoller(nil).get(t.Context(), "http://"+listen.Addr().String()+"/healthz")
		if valid && (err != nil || !response.draining) {
			t.Errorf("field %q: got %+v, %v", field, response, err)
		}
		if !valid && err == nil {
			t.Errorf("field %q: got status %d, draining %v, want an error", field, response.status, response.draining)
		}
		_ = listen.Close()
	}
}
