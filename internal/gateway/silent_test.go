package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A server that is only slow to report leaves the store's list while it works. Its running payment must neither be given up nor be
// started again elsewhere.
func TestRunningWorkOutlivesWhatIsBelievedOfItsServer(t *testing.T) {
	running, release := make(chan struct{}, 1), make(chan struct{})
	slow := newRawServer(t, "i-1", func(conn net.Conn, id string) {
		running <- struct{}{}
		<-release
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 4\r\n\r\ngood", head(id))
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
	h.eventually("the other server only", func() bool {
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
		t.Errorf("the payment ended with %s", got)
	}
	if n := other.count(); n != before {
		t.Errorf("the other server got %d requests while the payment ran", n-before)
	}
}
