package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

// Guards against a starting host that learns its state from a stale replica of the store, which may lag by seconds. It would use a
// removed backend server or route again.
func TestStaleStoreReplicaRestoresNoRemovedState(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		removed, listed := newServer(t, "i-9left", nil), newServer(t, "i-1stays", nil)
		kv := kvstore.New()
		for _, s := range []*server{removed, listed} {
			kv.Put("servers/"+s.id, `{"Service":"s","Addr":"`+s.address+`","Zone":"d","Slots":3,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}`)
		}
		kv.Put("op/config", configuration)
		kv.FreezeCopies()
		kv.Delete("servers/" + removed.id)
		kv.Put("op/config", strings.NewReplacer(`"00000001"`, `"00000002"`, "/look/", "/other/").Replace(configuration))
		if compacted {
			kv.Compact()
		}
		h := startHostOn(t, kv)
		h.eventually("a configuration", func() bool { return h.ready() == http.StatusOK })
		for range 20 {
			if res, _ := h.send("GET", "/look/x", "id-1", ""); res.StatusCode != http.StatusNotFound {
				t.Fatalf("compacted %v: a request on a removed route gets %d", compacted, res.StatusCode)
			}
			if res, _ := h.send("GET", "/other/x", "id-1", ""); res.StatusCode != http.StatusOK {
				t.Fatalf("compacted %v: a request on a current route gets %d", compacted, res.StatusCode)
			}
		}
		if n := removed.count(); n > 0 {
			t.Errorf("compacted %v: a removed server got %d requests", compacted, n)
		}
	}
}
