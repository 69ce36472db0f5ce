package gateway

import (
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// Placement must get an object that distinguishes the routes of a key, and no shared object if the caller states no key or the
// route's servers keep nothing warm.
func TestObjectOfRequestDistinguishesRoutes(t *testing.T) {
	object := func(prefix, key, id string, sticky bool) string {
		req := &request{info: RequestInfo{ID: id, Object: key}, route: &catalog.Route{HostName: "h", Prefix: prefix, Sticky: sticky}}
		return req.placementRequest().Object
	}
	look := object("/look/", "17", "id-1", true)
	if look != object("/look/", "17", "id-2", true) {
		t.Error("two requests of a route with the same key have different objects")
	}
	for name, other := range map[string]string{
		"another route": object("/pay/", "17", "id-3", true), "another key": object("/look/", "18", "id-4", true),
		"no key": object("/look/", "", "id-5", true), "not sticky": object("/look/", "17", "id-6", false),
	} {
		if other == look {
			t.Errorf("%s: the object is the same", name)
		}
	}
}
