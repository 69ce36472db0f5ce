package config

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// peerCallTimeout bounds one call to a peer, so that an unresponsive connection does not block other calls of PullFromPeer.
const peerCallTimeout = 2 * time.Second

// PullFromPeer fetches the configuration that a peer holds and brings it into force. It does nothing if version or a higher version
// is already in force. A concurrent call waits for the call in progress and then calls its peer only if it requires a version above
// the version in force. PullFromPeer returns an error if the peer does not provide version or a higher one. It never brings a lower
// version into force.
func (m *Manager) PullFromPeer(ctx context.Context, peer string, version policy.Version) error {
	if m.version() >= version {
		return nil
	}
	select {
	case m.pullToken <- struct{}{}:
		defer func() { <-m.pullToken }()
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
	if m.version() >= version {
		return nil
	}
	err := m.pull(ctx, peer)
	if err == nil && m.version() < version {
		err = Error.New("peer %s does not hold version %d", peer, version)
	}
	if err != nil {
		m.counters.peerFailures.Add(1)
	}
	return err
}

// pull fetches head and the missing parts from a peer and brings the version into force if it is above the version in force.
func (m *Manager) pull(ctx context.Context, peer string) error {
	head, err := m.peerHead(ctx, peer)
	if err != nil {
		return err
	}
	current := m.current.Load()
	if current != nil && head.Version <= current.head.Version {
		if head.Version < current.head.Version {
			m.rejectLower(head, peer)
		}
		return nil
	}
	raw, err := m.fetchParts(ctx, head, current, m.peerPartFetcher(peer))
	if err != nil {
		return err
	}
	next, err := newConfiguration(head, raw, current)
	if err != nil {
		return err
	}
	if m.install(next) {
		m.counters.fromPeers.Add(1)
	}
	return nil
}

// peerHead reads and validates the head of a peer.
func (m *Manager) peerHead(ctx context.Context, peer string) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	head, err := m.peers.Head(ctx, peer)
	if err != nil {
		return Head{}, Error.Wrap(err)
	}
	return head, checkHead(head)
}

// peerPartFetcher returns a partFetcher that reads from a peer.
func (m *Manager) peerPartFetcher(peer string) partFetcher {
	return func(ctx context.Context, digest Digest) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		return m.peers.Part(ctx, peer, digest)
	}
}
