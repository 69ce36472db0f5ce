package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is what the store holds, with the revision of each entry.
type world struct {
	revision  Revision
	servers   map[string]*Change
	evacuated map[string]*Change
	hosts     map[string]*Change
}

// step changes one entry.
func (w *world) step(t *rapid.T) {
	w.revision++
	name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "entry"))
	gone := rapid.Bool().Draw(t, "gone")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		if gone {
			delete(w.servers, name)
			return
		}
		w.servers[name] = &Change{Revision: w.revision, Server: &Server{ID: name, Service: "s", Incarnation: 1, Sequence: uint64(w.revision), Slots: 1}}
	case 1:
		if gone {
			delete(w.evacuated, name)
			return
		}
		w.evacuated[name] = &Change{Revision: w.revision, Evacuated: name}
	default:
		if gone {
			delete(w.hosts, name)
			return
		}
		w.hosts[name] = &Change{Revision: w.revision, Host: &Host{ID: name, Incarnation: Incarnation(w.revision)}}
	}
}

func (w *world) list() []Change {
	var list []Change
	for _, entries := range []map[string]*Change{w.servers, w.evacuated, w.hosts} {
		for _, c := range entries {
			list = append(list, *c)
		}
	}
	return list
}

// A follower takes what a listing of its reader showed to have changed. An entry that is missing there would stay in force at all
// followers of a failure domain after each cut watch.
func TestNewsOfAListingIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{servers: map[string]*Change{}, evacuated: map[string]*Change{}, hosts: map[string]*Change{}}
		reader, follower := NewState(), NewState()
		now := time.Unix(1_700_000_000, 0)
		w.step(t)
		reader.Resync(w.list(), w.revision, now)
		follower.Resync(w.list(), w.revision, now)
		for range rapid.IntRange(1, 5).Draw(t, "listings") {
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				w.step(t)
			}
			before := follower.revision
			_, news := reader.Resync(w.list(), w.revision, now)
			if news == nil {
				t.Fatal("a reader that knew everything before does not know the news")
			}
			h := history{since: before}
			h.add(news, w.revision)
			changes, kept := h.after(before)
			if !kept {
				t.Fatal("the news is not kept")
			}
			follower.Apply(changes, w.revision, now)
			a, b := reader.View(), follower.View()
			for id, e := range a.Servers {
				if other := b.Servers[id]; other == nil || !reflect.DeepEqual(e.Server, other.Server) {
					t.Fatalf("server %s: %+v, the follower has %+v", id, e, other)
				}
			}
			if len(a.Servers) != len(b.Servers) || !reflect.DeepEqual(a.Evacuated, b.Evacuated) || !reflect.DeepEqual(a.Hosts, b.Hosts) {
				t.Fatalf("reader %+v, follower %+v", a, b)
			}
		}
	})
}

// What a reader does not know since when, its followers must read anew.
func TestNewsOfAFirstOrUndatedListingIsUnknown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := NewState()
	if _, news := s.Resync([]Change{{Revision: 3, Evacuated: "d"}}, 3, now); news != nil {
		t.Errorf("news of a first listing: %v", news)
	}
	if _, news := s.Resync([]Change{{Evacuated: "e"}}, 4, now); news != nil {
		t.Errorf("news of entries without a revision: %v", news)
	}
}
