package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// drawSections returns a document with hosts and backend servers of both failure domains in random order.
func drawSections(t *rapid.T) *policy.Document {
	doc := testDocument(t, 5, 0)
	doc.Hosts, doc.BackendServers = nil, nil
	domain := rapid.SampledFrom(siteNames)
	for i := range rapid.IntRange(1, 20).Draw(t, "hosts") {
		address := func(port uint16) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), port)
		}
		doc.Hosts = append(doc.Hosts, policy.Host{
			ID: fmt.Sprint("h", i), FailureDomain: domain.Draw(t, "host domain"),
			CallerAddress: address(1), PeerAddress: address(2), AdminAddress: address(3),
		})
	}
	for i := range rapid.IntRange(1, 40).Draw(t, "servers") {
		doc.BackendServers = append(doc.BackendServers, policy.BackendServer{
			ID: fmt.Sprint("b", i), Service: "catalogue", FailureDomain: domain.Draw(t, "server domain"),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(i)}), 1), Slots: 1,
		})
	}
	return doc
}

func byID(a, b policy.BackendServer) int { return cmp.Compare(a.ID, b.ID) }

// changedParts returns the names of the parts of second that first does not have.
func changedParts(first, second *configuration) []string {
	var names []string
	for _, ref := range second.head.Parts {
		if _, ok := first.raw[ref.Digest]; !ok {
			names = append(names, ref.Name)
		}
	}
	return names
}

// Splitting and assembling must not change hosts and backend servers, and a change must rewrite only the part that contains the
// changed item. Every host fetches each change, so a single part would transfer hundreds of kilobytes each time.
func TestChangeRewritesOnlyItsSection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := drawSections(t)
		first := configurationFor(t, doc, nil, 1)
		got := first.snapshot.Document
		want := slices.SortedFunc(slices.Values(first.snapshot.Document.BackendServers), byID)
		if !reflect.DeepEqual(got.Hosts, withDefaults(t, doc).Hosts) {
			t.Fatal("hosts changed when split and assembled")
		}
		if all := slices.SortedFunc(slices.Values(withDefaults(t, doc).BackendServers), byID); !reflect.DeepEqual(all, want) {
			t.Fatal("backend servers changed when split and assembled")
		}
		change, part := drawChange(t, doc)
		change()
		if names := changedParts(first, configurationFor(t, doc, first, 2)); !slices.Equal(names, []string{part}) {
			t.Fatalf("parts %v changed, want %s", names, part)
		}
	})
}

// withDefaults returns a copy of doc with defaults filled in.
func withDefaults(t *rapid.T, doc *policy.Document) *policy.Document {
	copied, err := copyDocument(doc)
	if err != nil {
		t.Fatal(err)
	}
	policy.FillDefaults(copied)
	return copied
}

// drawChange returns a function that changes the document and the name of the part that contains the change.
func drawChange(t *rapid.T, doc *policy.Document) (change func(), part string) {
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		host := &doc.Hosts[rapid.IntRange(0, len(doc.Hosts)-1).Draw(t, "host")]
		return func() { host.Retired = true }, hostsPart
	case 1:
		server := &doc.BackendServers[rapid.IntRange(0, len(doc.BackendServers)-1).Draw(t, "server")]
		return func() { server.Slots++ }, serversPrefix + server.FailureDomain
	default:
		return func() { doc.Services[0].HedgeAfterMs++ }, basePart
	}
}

// A head that was written before documents were split into sections has hosts and backend servers in base. It must remain readable
// for the history and for rollbacks.
func TestHeadWithHostsAndServersInBaseIsReadable(t *testing.T) {
	doc := testDocument(t, 5, 0)
	raw, err := policy.Encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	whole := newPart(basePart, raw)
	head := Head{Version: 1, ChangeID: "c", Parts: []PartRef{whole.ref}}
	got, err := newConfiguration(head, map[Digest][]byte{whole.ref.Digest: raw}, nil)
	if err != nil || len(got.snapshot.Document.Hosts) != 1 || len(got.snapshot.Document.BackendServers) != 1 {
		t.Fatalf("got %+v, %v", got, err)
	}
}
