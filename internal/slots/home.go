package slots

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// weigher computes the rendezvous hashing weights of hosts for slots. It reuses one buffer.
type weigher struct {
	buf []byte
}

// weight returns the weight of a host for a slot. The host with the highest weight is first in the home order.
func (w *weigher) weight(id ID, host string) uint64 {
	w.buf = append(w.buf[:0], id.BackendServer...)
	w.buf = append(w.buf, 0)
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(id.Index))
	w.buf = append(w.buf, host...)
	return xxhash.Sum64(w.buf)
}

// precedes reports whether host a is before host b in the home order of the slot. Equal weights are ordered by id.
func (w *weigher) precedes(id ID, a, b string) bool {
	wa, wb := w.weight(id, a), w.weight(id, b)
	return wa > wb || wa == wb && a < b
}

// hostSet is a set of positions in the sorted list of peers.
type hostSet []uint64

// newHostSet returns an empty set for n positions.
func newHostSet(n int) hostSet { return make(hostSet, (n+63)/64) }

// add adds position i.
func (s hostSet) add(i int) { s[i/64] |= 1 << (i % 64) }

// subsetOf reports whether each member of s is in other, a set for the same list.
func (s hostSet) subsetOf(other hostSet) bool {
	for i, word := range s {
		if word&^other[i] != 0 {
			return false
		}
	}
	return true
}

// homeTable holds, for each slot of one backend server, the set of peers that precede this host in the home order. The
// sets are stored one after another, each in wordsPerSlot words.
type homeTable struct {
	wordsPerSlot int
	preceding    hostSet
}

// newHomeTable computes the home table of one backend server.
func newHomeTable(w *weigher, backend string, slots int, self string, peers []*peer) homeTable {
	words := len(newHostSet(len(peers)))
	t := homeTable{wordsPerSlot: words, preceding: make(hostSet, words*slots)}
	for index := range slots {
		id := ID{BackendServer: backend, Index: index}
		own := w.weight(id, self)
		row := t.row(index)
		for i, p := range peers {
			if weight := w.weight(id, p.id); weight > own || weight == own && p.id < self {
				row.add(i)
			}
		}
	}
	return t
}

// row returns the set of peers that precede this host for one slot.
func (t homeTable) row(index int) hostSet {
	return t.preceding[index*t.wordsPerSlot : (index+1)*t.wordsPerSlot]
}
