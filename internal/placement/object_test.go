package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// Guards against hosts that take the requests of all routes with a key for one object. Callers use the same keys on several routes: a
// host expected a server to be warm for a route of which it had handled no request (on trinacria-lb 0.9 of these requests ran cold),
// and all work of a key went to one server.
func TestRoutesWithTheSameKeyAreSeparateObjects(t *testing.T) {
	table, servers := tableOf(16)
	look := &catalog.Route{HostName: "h", Prefix: "/look/", SLO: time.Second, Sticky: true}
	book := &catalog.Route{HostName: "h", Prefix: "/book/", SLO: time.Second, Sticky: true}
	request := func(route *catalog.Route, key string) *Request {
		return &Request{Route: route, Service: "s", Object: ObjectOf(route, key), Deadline: t0.Add(time.Minute)}
	}
	samePlace := 0
	const keys = 400
	for i := range keys {
		r := request(look, fmt.Sprint(i))
		d := table.Choose(r, t0)
		if !table.StartAttempt(&d, t0) {
			t.Fatal("not started")
		}
		table.EndAttempt(&d, r, &AttemptResult{Duration: 100 * time.Millisecond, Completed: true}, t0)
		other := request(book, fmt.Sprint(i))
		if d.server.isWarm(other.Object, t0) {
			t.Fatalf("key %d: server %s counts as warm for a route that it has not handled", i, d.Server.ID)
		}
		if table.Choose(other, t0).Server == d.Server {
			samePlace++
		}
	}
	// Independent choices among the servers agree once in len(servers) on average.
	if most := 3 * keys / len(servers); samePlace > most {
		t.Errorf("both routes use the same server for %d of %d keys, want %d at most", samePlace, keys, most)
	}
}
