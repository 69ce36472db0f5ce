package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
	"github.com/foxtailtack/foxtailtack/platform"
)

// Guards against sending a payment that was decided before a pause of ten seconds, between the choice of the server and the first
// byte. The server may have been removed and its connections closed during the pause, so the payment must be decided again and
// sent once, on a new connection.
func TestServerIsChosenAgainAfterPause(t *testing.T) {
	var opened atomic.Int32
	connections := map[net.Conn]bool{}
	s := newRawServer(t, "i-1", func(conn net.Conn, id string) {
		if !connections[conn] {
			connections[conn] = true
			opened.Add(1)
		}
		_, _ = conn.Write([]byte(responseHead(id) + "Content-Length: 4\r\n\r\ngood"))
	})
	kv := kvstore.New()
	kv.Put("servers/i-1", `{"Service":"s","Addr":"`+s.address+`","Zone":"d","Slots":3,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}`)
	// The clock jumps at the second reading after armed is set. The first reading is that of the decision.
	var readings, armed, jumped atomic.Int64
	began := time.Now()
	clock := func() time.Duration {
		if armed.Load() == 1 && readings.Add(1) == 2 {
			jumped.Store(int64(10 * time.Second))
		}
		return time.Since(began) + time.Duration(jumped.Load())
	}
	h := startHostAt(t, kv, platform.Dialect{}, clock).configure()
	if res, _ := h.send("POST", "/pay/x", "id-1", ""); res.StatusCode != http.StatusOK {
		t.Fatalf("status %d", res.StatusCode)
	}
	listings := kv.Calls("/kv-range")
	armed.Store(1)
	if res, body := h.send("POST", "/pay/x", "id-2", ""); res.StatusCode != http.StatusOK || body != "good" {
		t.Errorf("status %d %s", res.StatusCode, body)
	}
	h.eventually("logged the pause", func() bool { return strings.Contains(h.log.String(), "event=process_was_paused") })
	h.eventually("listed the store again", func() bool { return kv.Calls("/kv-range") > listings })
	if n := opened.Load(); n != 2 {
		t.Errorf("%d connections for two payments, want one before and one after the pause", n)
	}
}
