package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"io"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
)

// A configuration may have a megabyte, all other changes a few hundred bytes each. Hosts therefore announce the version in force with
// each batch and hand a large configuration itself out in parts on other connections, so that no other change waits for it.

const (
	// partBytes is the size of a part of a configuration. While dozens of hosts fetch parts from the same host, its other responses
	// wait for one part of each of them: a fifth of a second on a link of 10 Mbit/s.
	partBytes = 8 << 10
	// partTimeout limits the call for one part.
	partTimeout = time.Second
	// maxPartAttempts is the number of calls for a part before the fetch fails.
	maxPartAttempts = 3
	// fetchTimeout limits the whole fetch, and fetchRetryInterval is the time from a failed one to the next.
	fetchTimeout       = 15 * time.Second
	fetchRetryInterval = 500 * time.Millisecond
	// maxEncodings is the number of versions whose encodings are kept. Hosts that fetch a version can complete it although newer ones
	// arrive meanwhile.
	maxEncodings = 4
	// maxConfigurationBytes limits a configuration after decompression.
	maxConfigurationBytes = 64 << 20
)

// ConfigurationArgs requests a part of the encoding of a configuration.
type ConfigurationArgs struct {
	Version catalog.Version
	// Offset is the number of bytes before the part.
	Offset int
}

// ConfigurationReply is the response to ConfigurationArgs.
type ConfigurationReply struct {
	// Total is the length of the whole encoding in bytes. It is zero if the host does not have the version.
	Total int
	// Checksum is the xxHash of the whole encoding. Encodings of the same version by different processes differ.
	Checksum uint64
	Part     []byte
}

// encoding is a compressed configuration.
type encoding struct {
	version  catalog.Version
	data     []byte
	checksum uint64
}

// encodings keeps the encodings of the latest versions that other hosts requested. It is safe for concurrent use.
type encodings struct {
	mu   sync.Mutex
	list []*encoding
}

// get returns the encoding of a version, or nil if it is neither kept nor the version of the current configuration.
func (e *encodings) get(version catalog.Version, current *catalog.Configuration) (*encoding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.list {
		if kept.version == version {
			return kept, nil
		}
	}
	if current == nil || current.Version != version {
		return nil, nil
	}
	data, err := encodeConfiguration(current)
	if err != nil {
		return nil, err
	}
	added := &encoding{version: version, data: data, checksum: xxhash.Sum64(data)}
	e.list = append(e.list, added)
	if extra := len(e.list) - maxEncodings; extra > 0 {
		e.list = slices.Delete(e.list, 0, extra)
	}
	return added, nil
}

func encodeConfiguration(c *catalog.Configuration) ([]byte, error) {
	var data bytes.Buffer
	compressor, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := gob.NewEncoder(compressor).Encode(c); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := compressor.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return data.Bytes(), nil
}

func decodeConfiguration(data []byte) (*catalog.Configuration, error) {
	c := &catalog.Configuration{}
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxConfigurationBytes)
	if err := gob.NewDecoder(plain).Decode(c); err != nil {
		return nil, Error.Wrap(err)
	}
	return c, nil
}

// Configuration serves one call.
func (s *service) Configuration(args ConfigurationArgs, reply *ConfigurationReply) (err error) {
	defer guard.RecoverError(s.log, "relay configuration", &err)
	e, err := s.encodings.get(args.Version, s.upstream.View().Configuration)
	if e == nil || err != nil {
		return err
	}
	if args.Offset < 0 || args.Offset >= len(e.data) {
		return Error.New("offset %d of %d bytes", args.Offset, len(e.data))
	}
	*reply = ConfigurationReply{Total: len(e.data), Checksum: e.checksum, Part: e.data[args.Offset:min(len(e.data), args.Offset+partBytes)]}
	return nil
}

// announceLargeConfigurations returns the changes with announcements in place of configurations that are longer than a part, and of
// those that a later version replaces.
func (e *encodings) announceLargeConfigurations(changes []catalog.Change, latest catalog.Version) ([]catalog.Change, error) {
	list := slices.Clone(changes)
	for i, c := range list {
		if c.Configuration == nil {
			continue
		}
		apart := c.Configuration.Version != latest
		if !apart {
			encoded, err := e.get(latest, c.Configuration)
			if err != nil {
				return nil, err
			}
			apart = len(encoded.data) > partBytes
		}
		if apart {
			list[i] = catalog.Change{Revision: c.Revision, Announced: c.Configuration.Version}
		}
	}
	return list, nil
}

// configurationIn returns the version of the latest configuration in a list of changes, or zero.
func configurationIn(changes []catalog.Change) catalog.Version {
	latest := catalog.Version(0)
	for _, c := range changes {
		if c.Configuration != nil {
			latest = max(latest, c.Configuration.Version)
		}
	}
	return latest
}

// fetch is a configuration that is being fetched from another host.
type fetch struct {
	host    string
	version catalog.Version
	cancel  context.CancelFunc
}

// pendingVersionLocked returns the version of the configuration that this host has, is fetching or has just failed to fetch: only a
// later one is worth a response before the end of a call's wait. The caller holds the lock.
func (s *Source) pendingVersionLocked() catalog.Version {
	pending := catalog.Version(0)
	if c := s.view().Configuration; c != nil {
		pending = c.Version
	}
	if s.fetching != nil {
		pending = max(pending, s.fetching.version)
	}
	if time.Since(s.fetchFailedAt) < fetchRetryInterval {
		pending = max(pending, s.failedVersion)
	}
	return pending
}

// startFetchLocked begins to fetch a version that another host has announced, unless this host has it or another fetch is in progress:
// that one is completed first, since newer versions may follow each other faster than they arrive. The caller holds the lock.
func (s *Source) startFetchLocked(host string, address netip.AddrPort, version catalog.Version) {
	if s.fetching != nil || version <= s.pendingVersionLocked() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	s.fetching = &fetch{host, version, cancel}
	go func() {
		defer cancel()
		received := false
		defer func() { s.endFetch(version, received) }()
		guard.Run(ctx, s.log, "relay fetch", func(ctx context.Context) { received = s.fetchConfiguration(ctx, host, address, version) })
	}()
}

func (s *Source) endFetch(version catalog.Version, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = nil
	if !received {
		s.failedVersion, s.fetchFailedAt = version, time.Now()
	}
}

// fetchConfiguration fetches a version from another host and delivers it. It reports whether it did so.
func (s *Source) fetchConfiguration(ctx context.Context, host string, address netip.AddrPort, version catalog.Version) bool {
	began := time.Now()
	data, err := s.fetchEncoding(ctx, address, version)
	var c *catalog.Configuration
	if err == nil {
		c, err = decodeConfiguration(data)
	}
	if err == nil && c.Version != version {
		err = Error.New("the configuration has version %d", c.Version)
	}
	event := s.log.Info().Str("host", host).Uint64("version", uint64(version)).Int("received_bytes", len(data)).Int64("took_ms", time.Since(began).Milliseconds())
	if err != nil {
		event.Err(err).Msg("configuration_not_received")
		return false
	}
	event.Msg("configuration_received")
	s.deliver(c)
	return true
}

// fetchEncoding fetches all parts of the encoding of a version. After an error it continues with the part that is missing, on a new
// connection. It also returns the bytes received before an error.
func (s *Source) fetchEncoding(ctx context.Context, address netip.AddrPort, version catalog.Version) ([]byte, error) {
	var data []byte
	var first ConfigurationReply
	var client *rpc.Client
	closeClient := func() {
		if client != nil {
			_ = client.Close()
			client = nil
		}
	}
	defer closeClient()
	for failed := 0; ; {
		reply, err := s.fetchPart(ctx, &client, address, ConfigurationArgs{Version: version, Offset: len(data)})
		switch {
		case err == nil && reply.Total == 0:
			return data, Error.New("the host does not have version %d", version)
		case err == nil && reply.Total > maxResponseBytes:
			return data, Error.New("the encoding has %d bytes", reply.Total)
		case err == nil && len(data) > 0 && (reply.Total != first.Total || reply.Checksum != first.Checksum):
			return data, Error.New("the host was restarted")
		case err != nil:
			closeClient()
			if failed++; failed == maxPartAttempts || ctx.Err() != nil {
				return data, err
			}
			continue
		}
		first, failed = reply, 0
		data = append(data, reply.Part...)
		if len(data) >= reply.Total || len(reply.Part) == 0 {
			break
		}
	}
	if len(data) != first.Total || xxhash.Sum64(data) != first.Checksum {
		return data, Error.New("%d bytes of %d have another checksum than the host stated", len(data), first.Total)
	}
	return data, nil
}

// fetchPart makes one call. It opens a connection if client is nil.
func (s *Source) fetchPart(ctx context.Context, client **rpc.Client, address netip.AddrPort, args ConfigurationArgs) (ConfigurationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	if *client == nil {
		conn, err := s.dial(ctx, "tcp", address.String())
		if err != nil {
			return ConfigurationReply{}, Error.Wrap(err)
		}
		*client = rpc.NewClient(guard.LimitMessages(conn, maxPartMessageBytes))
	}
	reply := &ConfigurationReply{}
	call := (*client).Go(serviceName+".Configuration", args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return *reply, call.Error
	case <-ctx.Done():
		return ConfigurationReply{}, ctx.Err()
	}
}

// maxPartMessageBytes limits the message with a part, which also has the names of its fields.
const maxPartMessageBytes = partBytes + 4<<10
