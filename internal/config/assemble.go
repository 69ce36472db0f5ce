package config

import (
	"context"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// defaultConcurrency is the maximum number of parts or versions that are read or written concurrently. A host in another region
// fetches all parts of a large policy in eight or nine round trips instead of 65.
const defaultConcurrency = 8

// configuration is one accepted configuration. It is immutable.
type configuration struct {
	head     Head
	snapshot *policy.Snapshot
	// raw holds the encoded parts, which peers fetch.
	raw map[Digest][]byte
	// blocksByPart holds the parsed blocks of each block part as slices of snapshot.Document.Blocks.
	blocksByPart map[Digest][]policy.Block
}

// partFetcher reads the bytes of the part with the given digest.
type partFetcher func(ctx context.Context, digest Digest) ([]byte, error)

// fetchParts returns the bytes of all parts of head. It fetches the parts that previous does not contain and verifies their
// digests. previous may be nil.
func (m *Manager) fetchParts(ctx context.Context, head Head, previous *configuration, fetch partFetcher) (map[Digest][]byte, error) {
	raw := make(map[Digest][]byte, len(head.Parts))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(m.concurrency)
	for _, ref := range head.Parts {
		if known, ok := previous.part(ref.Digest); ok {
			mu.Lock()
			raw[ref.Digest] = known
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			value, err := fetchPart(ctx, ref, fetch)
			mu.Lock()
			defer mu.Unlock()
			raw[ref.Digest] = value
			return err
		})
	}
	return raw, group.Wait()
}

func fetchPart(ctx context.Context, ref PartRef, fetch partFetcher) ([]byte, error) {
	value, err := fetch(ctx, ref.Digest)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if digestOf(value) != ref.Digest {
		return nil, Error.New("content of part %s does not match its digest %s", ref.Name, ref.Digest)
	}
	return value, nil
}

// part returns the bytes of a part. c may be nil.
func (c *configuration) part(digest Digest) ([]byte, bool) {
	if c == nil {
		return nil, false
	}
	raw, ok := c.raw[digest]
	return raw, ok
}

// parsedBlocks returns the blocks of a part. It decodes raw unless c contains the parsed blocks. c may be nil.
func (c *configuration) parsedBlocks(digest Digest, raw []byte) ([]policy.Block, error) {
	if c != nil {
		if blocks, ok := c.blocksByPart[digest]; ok {
			return blocks, nil
		}
	}
	return decodeBlocks(raw)
}

// assembleDocument joins the parts of head. The second result maps each block part to its slice of the document's blocks.
// Parsed blocks of unchanged parts are copied from previous, which may be nil.
func assembleDocument(head Head, raw map[Digest][]byte, previous *configuration) (*policy.Document, map[Digest][]policy.Block, error) {
	sections, blockParts := partitionParts(head.Parts)
	doc, err := joinSections(sections, raw)
	if err != nil {
		return nil, nil, err
	}
	parsed := make([][]policy.Block, 0, len(blockParts))
	total := 0
	for _, ref := range blockParts {
		blocks, err := previous.parsedBlocks(ref.Digest, raw[ref.Digest])
		if err != nil {
			return nil, nil, err
		}
		parsed = append(parsed, blocks)
		total += len(blocks)
	}
	doc.Blocks = make([]policy.Block, 0, total)
	blocksByPart := make(map[Digest][]policy.Block, len(parsed))
	for i, blocks := range parsed {
		start := len(doc.Blocks)
		doc.Blocks = append(doc.Blocks, blocks...)
		blocksByPart[blockParts[i].Digest] = doc.Blocks[start:len(doc.Blocks):len(doc.Blocks)]
	}
	return doc, blocksByPart, nil
}

// partitionParts separates the parts that are stored as TOML from the parts that contain blocks.
func partitionParts(refs []PartRef) (sections, blockParts []PartRef) {
	for _, ref := range refs {
		if strings.HasPrefix(ref.Name, blocksPrefix) {
			blockParts = append(blockParts, ref)
		} else {
			sections = append(sections, ref)
		}
	}
	return sections, blockParts
}

// newConfiguration assembles and compiles a version from its parts. previous may be nil.
func newConfiguration(head Head, raw map[Digest][]byte, previous *configuration) (*configuration, error) {
	doc, blocks, err := assembleDocument(head, raw, previous)
	if err != nil {
		return nil, err
	}
	snapshot, err := policy.Compile(doc, head.Version, head.ChangeID)
	if err != nil {
		return nil, err
	}
	return &configuration{head: head, snapshot: snapshot, raw: raw, blocksByPart: blocks}, nil
}
