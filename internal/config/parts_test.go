package config

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

var siteNames = []string{"north-1", "south-1"}

func drawBlocks(t *rapid.T) []policy.Block {
	var blocks []policy.Block
	for i := range rapid.IntRange(0, 300).Draw(t, "blocks") {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i / 256), byte(i), 0}), 24)
		blocks = append(blocks, policy.Block{Prefix: prefix, Sites: siteNames[i%2:]})
	}
	return blocks
}

// Splitting and assembling must not change a document, and the order of blocks must not affect the parts. A change of one block must
// rewrite only one part; otherwise small changes would transfer megabytes.
func TestSplitAndAssemblePreserveTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := testDocument(t, 5, 0)
		doc.Blocks = drawBlocks(t)
		first := configurationFor(t, doc, nil, 1)
		got := slices.Clone(first.snapshot.Document.Blocks)
		slices.SortFunc(got, func(a, b policy.Block) int { return comparePrefixes(a.Prefix, b.Prefix) })
		if len(got) != len(doc.Blocks) || len(got) > 0 && !reflect.DeepEqual(got, doc.Blocks) {
			t.Fatalf("%d blocks were assembled to %d different blocks", len(doc.Blocks), len(got))
		}
		slices.Reverse(doc.Blocks)
		if again := configurationFor(t, doc, nil, 1); !reflect.DeepEqual(again.head.Parts, first.head.Parts) {
			t.Fatal("the order of blocks changed the parts")
		}
		if len(doc.Blocks) == 0 {
			return
		}
		changed := &doc.Blocks[rapid.IntRange(0, len(doc.Blocks)-1).Draw(t, "changed")]
		changed.Sites = []string{"south-1", "north-1"}
		checkOnePartChanged(t, doc, first)
	})
}

// configurationFor returns the next version with doc, based on accepted. The change ID is n.
func configurationFor(t rapid.TB, doc *policy.Document, accepted *configuration, n int) *configuration {
	next, err := prepare(Change{ID: fmt.Sprint(n), Document: doc}, accepted, newTestManager(nil, nil).now())
	if err != nil {
		t.Fatal(err)
	}
	return next.configuration
}

// checkOnePartChanged checks that the next version with doc has one part that first does not have, and that reusing parsed blocks
// gives the same document as decoding all parts.
func checkOnePartChanged(t rapid.TB, doc *policy.Document, first *configuration) {
	second := configurationFor(t, doc, first, 2)
	newParts := 0
	for _, ref := range second.head.Parts {
		if _, ok := first.raw[ref.Digest]; !ok {
			newParts++
		}
	}
	if newParts != 1 {
		t.Fatalf("one changed block rewrites %d parts", newParts)
	}
	parsedInFull := configurationFor(t, doc, nil, 2)
	if !reflect.DeepEqual(second.snapshot.Document, parsedInFull.snapshot.Document) {
		t.Fatal("reused blocks differ from parsed ones")
	}
}

// The store rejects a value above its size limit. A policy with such a part must be rejected as invalid before any write.
func TestApplyRejectsAnOversizedPart(t *testing.T) {
	st := newFakeStore()
	doc := testDocument(t, 1, 0)
	doc.DrainedBackendServers = slices.Repeat([]string{"b1"}, store.MaxValueBytes/4)
	_, err := newTestManager(st, nil).Apply(context.Background(), Change{ID: "c1", Document: doc})
	if f := result.FromError(err); f == nil || f.Code != result.InvalidPolicy || !strings.Contains(f.Message, "part base") {
		t.Fatalf("got %.200v, want invalid_policy that names the part", err)
	}
	if len(st.values) != 0 {
		t.Fatalf("%d keys were written", len(st.values))
	}
}

// Apply must not modify the document of the change, because the operator may apply it again after a conflict.
func TestApplyDoesNotModifyTheDocument(t *testing.T) {
	doc := testDocument(t, 1, 3)
	_, err := newTestManager(newFakeStore(), nil).Apply(context.Background(), Change{ID: "c1", Document: doc})
	if want := testDocument(t, 1, 3); err != nil || !reflect.DeepEqual(doc, want) {
		t.Fatalf("document changed or error: %v", err)
	}
}

// A repeated change must be recognized as accepted after its ID has dropped out of the list of recent change IDs. A conflict would
// report to the operator that the change was rejected.
func TestApplyRecognizesARepeatBeyondRecentChangeIDs(t *testing.T) {
	m := newTestManager(newFakeStore(), nil)
	var first Change
	for i := range recentChangeIDs + 10 {
		change := Change{ID: fmt.Sprint(i), Base: policy.Version(i), Document: testDocument(t, i, 0)}
		if i == 1 {
			first = change
		}
		if _, err := m.Apply(context.Background(), change); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(m.Head().RecentChangeIDs); n != recentChangeIDs {
		t.Fatalf("head lists %d ids", n)
	}
	accepted, err := m.Apply(context.Background(), first)
	if err != nil || accepted.Version != 2 || !accepted.AlreadyAccepted {
		t.Fatalf("got %+v, %v, want the version that the first call created", accepted, err)
	}
}
