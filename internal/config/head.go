package config

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// recentChangeIDs is the maximum number of change IDs in head.
const recentChangeIDs = 128

// maxParts bounds the number of parts of one head. A document has the base part, the hosts part, 64 parts of blocks and one part
// of backend servers for each failure domain (18 at the target size).
const maxParts = 512

// digestBytes is the size of a SHA-256 digest.
const digestBytes = 32

// encodeHead returns the stored form of a head.
func encodeHead(head Head) ([]byte, error) {
	value, err := json.Marshal(head)
	return value, Error.Wrap(err)
}

// decodeHead decodes and validates a stored head.
func decodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, Error.New("head: %v", err)
	}
	return head, checkHead(head)
}

// checkHead validates the properties of a head that this package relies on: the base part is the first, part names are unique and
// digests are well-formed.
func checkHead(head Head) error {
	if head.Version == 0 || head.ChangeID == "" {
		return Error.New("head has no version or no change id")
	}
	if n := len(head.RecentChangeIDs); n == 0 || policy.Version(n) > head.Version {
		return Error.New("head of version %d lists %d change ids", head.Version, n)
	}
	if len(head.Parts) == 0 || head.Parts[0].Name != basePart || len(head.Parts) > maxParts {
		return Error.New("head of version %d has no parts, too many parts, or a first part other than base", head.Version)
	}
	names := make(map[string]bool, len(head.Parts))
	for _, ref := range head.Parts {
		raw, err := hex.DecodeString(string(ref.Digest))
		if err != nil || len(raw) != digestBytes || names[ref.Name] {
			return Error.New("head of version %d lists part %q twice or with a malformed digest", head.Version, ref.Name)
		}
		names[ref.Name] = true
	}
	return nil
}

// nextHead returns the head of the version that follows current. The zero value of current represents an empty store.
func nextHead(current Head, change Change, parts []PartRef, now time.Time) Head {
	ids := append([]string{change.ID}, current.RecentChangeIDs...)
	return Head{
		Version:         current.Version + 1,
		ChangeID:        change.ID,
		RecentChangeIDs: ids[:min(len(ids), recentChangeIDs)],
		Operator:        change.Operator,
		Reason:          change.Reason,
		Time:            now.UTC(),
		Parts:           parts,
	}
}

// versionOf returns the version that was created by a recent change. Each version has one change ID, so the index in the list
// determines the version.
func (h Head) versionOf(changeID string) (policy.Version, bool) {
	i := slices.Index(h.RecentChangeIDs, changeID)
	if i < 0 {
		return 0, false
	}
	return h.Version - policy.Version(i), true
}

// oldestRecent returns the oldest version whose change ID is in RecentChangeIDs.
func (h Head) oldestRecent() policy.Version {
	return h.Version + 1 - policy.Version(len(h.RecentChangeIDs))
}
