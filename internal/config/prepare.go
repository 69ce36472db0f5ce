package config

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Limits of the fields of a change in bytes. Head holds 128 change IDs and must stay small, because delegates poll it.
const (
	maxChangeIDBytes = 64
	maxOperatorBytes = 64
	maxReasonBytes   = 1024
)

// candidate is the next version made from a valid change, ready to be written.
type candidate struct {
	parts         []part
	configuration *configuration
	// headBytes is the stored form of the head.
	headBytes []byte
}

// checkChange checks the fields of a change other than the content of its document.
func checkChange(change Change) error {
	switch {
	case change.ID == "" || len(change.ID) > maxChangeIDBytes:
		return result.Fail(result.InvalidPolicy, "change id: want 1 to %d bytes", maxChangeIDBytes)
	case len(change.Operator) > maxOperatorBytes:
		return result.Fail(result.InvalidPolicy, "operator: want at most %d bytes", maxOperatorBytes)
	case len(change.Reason) > maxReasonBytes:
		return result.Fail(result.InvalidPolicy, "reason: want at most %d bytes", maxReasonBytes)
	case change.Document == nil:
		return result.Fail(result.InvalidPolicy, "document: want a policy")
	}
	return nil
}

// prepare validates a change against the accepted version, which is nil for an empty store, and creates the next version. The
// configuration is assembled from the encoded parts, which ensures that the stored version is readable. An error means that the
// policy is invalid.
func prepare(change Change, accepted *configuration, now time.Time) (candidate, error) {
	doc, err := copyDocument(change.Document)
	if err != nil {
		return candidate{}, err
	}
	var current Head
	var previous *policy.Document
	if accepted != nil {
		current, previous = accepted.head, accepted.snapshot.Document
	}
	setShiftStarts(doc, previous, now)
	if _, err := policy.Compile(doc, current.Version+1, change.ID); err != nil {
		return candidate{}, err
	}
	if err := policy.ValidateChange(previous, doc); err != nil {
		return candidate{}, err
	}
	return newCandidate(change, doc, accepted, current, now)
}

// newCandidate encodes a document and creates the next version from it.
func newCandidate(change Change, doc *policy.Document, accepted *configuration, current Head, now time.Time) (candidate, error) {
	parts, err := splitDocument(doc)
	if err != nil {
		return candidate{}, err
	}
	refs := make([]PartRef, len(parts))
	raw := make(map[Digest][]byte, len(parts))
	for i, p := range parts {
		refs[i] = p.ref
		raw[p.ref.Digest] = p.raw
	}
	head := nextHead(current, change, refs, now)
	configuration, err := newConfiguration(head, raw, accepted)
	if err != nil {
		return candidate{}, err
	}
	value, err := encodeHead(head)
	return candidate{parts: parts, configuration: configuration, headBytes: value}, err
}

// copyDocument returns a copy of doc, so that setting defaults does not modify the original. Blocks are shared, because they are
// never modified.
func copyDocument(doc *policy.Document) (*policy.Document, error) {
	withoutBlocks := *doc
	withoutBlocks.Blocks = nil
	text, err := policy.Encode(&withoutBlocks)
	if err != nil {
		return nil, err
	}
	copied, err := policy.Decode(text)
	if err != nil {
		return nil, err
	}
	copied.Blocks = doc.Blocks
	return copied, nil
}

// setShiftStarts sets the start of each shift that has none. A shift that is already in force keeps its start. Otherwise, applying
// the same policy file again would revert the shifted traffic and restart the ramp.
func setShiftStarts(doc, previous *policy.Document, now time.Time) {
	for i := range doc.Shifts {
		shift := &doc.Shifts[i]
		if shift.StartUnixMs != 0 {
			continue
		}
		shift.StartUnixMs = now.UnixMilli()
		if existing := findShift(previous, *shift); existing != nil {
			shift.StartUnixMs = existing.StartUnixMs
		}
	}
}

// findShift returns the shift with the same ID, service and regions as want, or nil.
func findShift(doc *policy.Document, want policy.Shift) *policy.Shift {
	if doc == nil {
		return nil
	}
	for i := range doc.Shifts {
		s := &doc.Shifts[i]
		if s.ID == want.ID && s.Service == want.Service && s.From == want.From && s.To == want.To {
			return s
		}
	}
	return nil
}
