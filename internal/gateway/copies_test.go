package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
)

// Copies of the store may be seconds old. What a host believes after its start must not come from them: a server that has left since, or a
// route that is no more, would be in use again.
func TestOldCopiesBringNothingBack(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		left, stays := newServer(t, "i-9left", nil), newServer(t, "i-1stays", nil)
		kv := kvstore.New()
		for _, s := range []*server{left, stays} {
			kv.Put("servers/"+s.id, `{"Service":"s","Addr":"`+s.address+`","Zone":"d","Slots":3,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}`)
		}
		kv.Put("op/config", configuration)
		kv.FreezeCopies()
		kv.Delete("servers/" + left.id)
		kv.Put("op/config", strings.NewReplacer(`"00000001"`, `"00000002"`, "/look/", "/other/").Replace(configuration))
		if compacted {
			kv.Compact()
		}
		h := startHostOn(t, kv)
		h.eventually("a configuration", func() bool { return h.ready() == http.StatusOK })
		for range 20 {
			if res, _ := h.send("GET", "/look/x", "id-1", ""); res.StatusCode != http.StatusNotFound {
				t.Fatalf("compacted %v: a withdrawn route gets %d", compacted, res.StatusCode)
			}
			if res, _ := h.send("GET", "/other/x", "id-1", ""); res.StatusCode != http.StatusOK {
				t.Fatalf("compacted %v: a route gets %d", compacted, res.StatusCode)
			}
		}
		if n := left.count(); n > 0 {
			t.Errorf("compacted %v: a server that has left got %d requests", compacted, n)
		}
	}
}
