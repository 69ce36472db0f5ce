package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The store entry of a server that reports late expires while the server works. Guards against failing its running payment or
// starting it again on another server.
func TestRunningRequestCompletesWhenServerLeavesStore(t *testing.T) {
	running, release := make(chan struct{}, 1), make(chan struct{})
	slow := newRawServer(t, "i-1", func(conn net.Conn, id string) {
		running <- struct{}{}
		<-release
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 4\r\n\r\ngood", responseHead(id))
	})
	h := startHost(t, slow).configure()
	ended := make(chan string, 1)
	go func() {
		res, body := h.send("POST", "/pay/x", "id-1", "")
		ended <- fmt.Sprint(res.StatusCode, " ", body)
	}()
	<-running
	other := newServer(t, "i-2", nil)
	h.kv.Put("servers/i-2", fmt.Sprintf(`{"Service":"s","Addr":%q,"Zone":"d","Slots":3,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}`, other.address))
	h.kv.Delete("servers/i-1")
	h.eventually("requests at the other server only", func() bool {
		if !strings.Contains(h.log.String(), "event=server_gone") {
			return false
		}
		res, _ := h.send("GET", "/look/x", "id-2", "")
		return res.StatusCode == http.StatusOK && other.count() > 0
	})
	before := other.count()
	time.Sleep(100 * time.Millisecond)
	close(release)
	if got := <-ended; got != "200 good" {
		t.Errorf("the payment completed with %s", got)
	}
	if n := other.count(); n != before {
		t.Errorf("the other server got %d requests while the payment ran", n-before)
	}
}
