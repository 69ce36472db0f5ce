package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
	"github.com/foxtailtack/foxtailtack/platform"
)

// A heartbeat of a server that has left may reach the store late. Guards against a host that was started in between and sends requests to
// this server, with other hosts that saw the removal and with all hosts started after it.
func TestRestartedHostDoesNotUseServerThatLeft(t *testing.T) {
	// The late heartbeat may arrive before what the others know.
	for name, want := range map[string][]string{"others know": {"event=entry_ignored", "event=removal_learned"}, "no host knows": {"event=server_held"}} {
		t.Run(name, func(t *testing.T) {
			kv, left, stays := kvstore.New(), newServer(t, "i-1", nil), newServer(t, "i-2", nil)
			put := func(s *server, sequence int) {
				kv.Put("servers/"+s.id, fmt.Sprintf(`{"Service":"s","Addr":%q,"Zone":"d","Slots":3,"State":"ready","ColdLeftMs":0,"Seq":%d,"born":1}`, s.address, sequence))
			}
			put(left, 10)
			put(stays, 10)
			kv.Put("op/config", configuration)
			var old *host
			if name == "others know" {
				old = startHostOn(t, kv)
				old.eventually("the server", func() bool { return strings.Contains(old.log.String(), "event=server_added") })
				kv.Delete("servers/" + left.id)
				old.eventually("the removal", func() bool { return strings.Contains(old.log.String(), "event=server_gone") })
			} else {
				kv.Delete("servers/" + left.id)
			}
			h := startHostAt(t, kv, platform.Dialect{}, nil, func(s *settings.Gateway) { s.HostID = "h2" })
			h.eventually("a configuration", func() bool { return h.ready() == http.StatusOK })
			if name == "others know" {
				old.eventually("the new host", func() bool { return strings.Contains(old.log.String(), "subject=h2") })
			}
			put(left, 6)
			h.eventually("the late heartbeat", func() bool { return strings.Contains(h.log.String(), "subject="+left.id) })
			for i := range 30 {
				if res, _ := h.send("GET", "/look/x", fmt.Sprint("id-", i), ""); res.StatusCode != http.StatusOK {
					t.Fatalf("status %d", res.StatusCode)
				}
			}
			if n := left.count(); n > 0 {
				t.Errorf("the server that has left got %d requests", n)
			}
			if !slices.ContainsFunc(want, func(event string) bool { return strings.Contains(h.log.String(), event) }) {
				t.Errorf("the log has none of %v", want)
			}
		})
	}
}
