package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/store"
)

const (
	// blocksPrefix is the prefix of the names of the parts that contain blocks. All other parts are stored as TOML.
	blocksPrefix = "blocks-"
	// blockShards is the number of shards that blocks are distributed over by a hash of their prefix. 160,000 blocks give
	// shards of 2,500, so a change of one block rewrites a small part. The number is fixed, because a different number
	// would move almost every block to another part.
	blockShards = 64
)

// part is one part of a document with its bytes.
type part struct {
	ref PartRef
	raw []byte
}

// blockGroup is the stored form of the blocks of a part that have the same sites. Site names are stored once for each group.
type blockGroup struct {
	Sites    []string       `json:"sites"`
	Prefixes []netip.Prefix `json:"prefixes"`
}

// digestOf returns the digest of raw.
func digestOf(raw []byte) Digest {
	sum := sha256.Sum256(raw)
	return Digest(hex.EncodeToString(sum[:]))
}

// splitDocument returns the parts of a document, the base part first. Equal documents give equal bytes.
func splitDocument(doc *policy.Document) ([]part, error) {
	parts, err := splitSections(doc)
	if err != nil {
		return nil, err
	}
	for shard, blocks := range splitBlocks(doc.Blocks) {
		if len(blocks) == 0 {
			continue
		}
		raw, err := encodeBlocks(blocks)
		if err != nil {
			return nil, err
		}
		parts = append(parts, newPart(fmt.Sprintf("%s%02d", blocksPrefix, shard), raw))
	}
	return parts, checkPartSizes(parts)
}

func newPart(name string, raw []byte) part {
	return part{ref: PartRef{Name: name, Digest: digestOf(raw)}, raw: raw}
}

func checkPartSizes(parts []part) error {
	for _, p := range parts {
		if len(p.raw) > store.MaxValueBytes {
			return Error.New("part %s has %d bytes; want at most %d", p.ref.Name, len(p.raw), store.MaxValueBytes)
		}
	}
	return nil
}

// splitBlocks distributes blocks over shards by a hash of their prefix.
func splitBlocks(blocks []policy.Block) [blockShards][]policy.Block {
	var shards [blockShards][]policy.Block
	for _, b := range blocks {
		shard := xxhash.Sum64String(b.Prefix.String()) % blockShards
		shards[shard] = append(shards[shard], b)
	}
	return shards
}

func encodeBlocks(blocks []policy.Block) ([]byte, error) {
	raw, err := json.Marshal(groupBlocks(blocks))
	return raw, Error.Wrap(err)
}

// groupBlocks groups blocks by their sites. Groups and prefixes are sorted, so that the order of blocks in the operator's file
// does not affect the bytes of a part.
func groupBlocks(blocks []policy.Block) []blockGroup {
	groups := map[string]*blockGroup{}
	for _, b := range blocks {
		key := strings.Join(b.Sites, "\x00")
		if groups[key] == nil {
			groups[key] = &blockGroup{Sites: b.Sites}
		}
		groups[key].Prefixes = append(groups[key].Prefixes, b.Prefix)
	}
	sorted := make([]blockGroup, 0, len(groups))
	for _, g := range groups {
		slices.SortFunc(g.Prefixes, comparePrefixes)
		sorted = append(sorted, *g)
	}
	slices.SortFunc(sorted, func(a, b blockGroup) int { return slices.Compare(a.Sites, b.Sites) })
	return sorted
}

func comparePrefixes(a, b netip.Prefix) int {
	return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Bits(), b.Bits()))
}

// decodeBlocks decodes the blocks of a part. Blocks of one group share one slice of sites.
func decodeBlocks(raw []byte) ([]policy.Block, error) {
	var groups []blockGroup
	if err := json.Unmarshal(raw, &groups); err != nil {
		return nil, Error.New("blocks: %v", err)
	}
	var blocks []policy.Block
	for _, g := range groups {
		for _, prefix := range g.Prefixes {
			blocks = append(blocks, policy.Block{Prefix: prefix, Sites: g.Sites})
		}
	}
	return blocks, nil
}
