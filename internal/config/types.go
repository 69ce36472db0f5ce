// Package config manages the accepted configuration of this process. It applies changes to the store, brings accepted versions from
// the store and from peers into force, and never returns to a lower version.
package config

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Error is the class of errors of this package.
var Error = errs.Class("config")

// Digest is the hexadecimal SHA-256 of a part.
type Digest string

// PartRef refers to one part of a policy document by name and digest. Parts are immutable, so each is fetched once.
type PartRef struct {
	// Name is "hosts" for the entry hosts, "backend-servers-D" for the backend servers of failure domain D, "blocks-NN" for the
	// blocks of one shard, and "base" for the rest of the document.
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Head describes an accepted version. A version is accepted when a compare-and-swap writes its head to the store. Head is stored as
// JSON.
type Head struct {
	Version  policy.Version `json:"version"`
	ChangeID string         `json:"change_id"`
	// RecentChangeIDs lists the change IDs of the latest versions, newest first, including this version.
	RecentChangeIDs []string  `json:"recent_change_ids"`
	Operator        string    `json:"operator"`
	Reason          string    `json:"reason"`
	Time            time.Time `json:"time"`
	Parts           []PartRef `json:"parts"`
}

// Change is a change of the policy requested by an operator.
type Change struct {
	// ID identifies the change. A change that is applied repeatedly with the same ID takes effect once.
	ID       string
	Operator string
	Reason   string
	// Base is the version that the change is based on, or 0 for an empty store. If another version is accepted, the change is
	// rejected with VersionConflict.
	Base policy.Version
	// Document is the whole new policy.
	Document *policy.Document
}

// Accepted is the result of an accepted change.
type Accepted struct {
	Version  policy.Version `json:"version"`
	ChangeID string         `json:"change_id"`
	// AlreadyAccepted is true if the change had taken effect in an earlier call with the same ID.
	AlreadyAccepted bool `json:"already_accepted"`
}

// PeerSource reads the configuration that other entry hosts hold.
type PeerSource interface {
	// Head returns the peer's head. Its version is 0 if the peer has no configuration.
	Head(ctx context.Context, peer string) (Head, error)
	// Part returns the bytes of a part.
	Part(ctx context.Context, peer string, digest Digest) ([]byte, error)
}
