package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storeModel models the content of the store, with the revision of each entry.
type storeModel struct {
	revision  Revision
	servers   map[string]*Change
	evacuated map[string]*Change
	hosts     map[string]*Change
}

// mutate writes or removes one entry.
func (w *storeModel) mutate(t *rapid.T) {
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

func (w *storeModel) list() []Change {
	var list []Change
	for _, entries := range []map[string]*Change{w.servers, w.evacuated, w.hosts} {
		for _, c := range entries {
			list = append(list, *c)
		}
	}
	return list
}

// Hosts that follow a reader of the store receive the differences that the reader found in a listing. If a difference were
// missing, the outdated entry would stay in force on all following hosts of a failure domain after each broken watch.
func TestResyncReturnsAllDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &storeModel{servers: map[string]*Change{}, evacuated: map[string]*Change{}, hosts: map[string]*Change{}}
		reader, follower := NewState(), NewState()
		now := time.Unix(1_700_000_000, 0)
		model.mutate(t)
		reader.Resync(model.list(), model.revision, now)
		follower.Resync(model.list(), model.revision, now)
		for range rapid.IntRange(1, 5).Draw(t, "listings") {
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				model.mutate(t)
			}
			previous := follower.revision
			_, diff := reader.Resync(model.list(), model.revision, now)
			if diff == nil {
				t.Fatal("no differences from a reader that had a complete state before")
			}
			hist := history{completeAfter: previous}
			hist.add(diff, model.revision)
			changes, kept := hist.changesAfter(previous)
			if !kept {
				t.Fatal("the history does not keep the differences")
			}
			follower.Apply(changes, model.revision, now)
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

// If a reader can't tell since which revision an entry has changed, the hosts that follow it must list all entries again.
func TestResyncReturnsNoDiffForFirstListingOrMissingRevision(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := NewState()
	if _, diff := s.Resync([]Change{{Revision: 3, Evacuated: "d"}}, 3, now); diff != nil {
		t.Errorf("first listing: got differences %v, want nil", diff)
	}
	if _, diff := s.Resync([]Change{{Evacuated: "e"}}, 4, now); diff != nil {
		t.Errorf("entries without a revision: got differences %v, want nil", diff)
	}
}
