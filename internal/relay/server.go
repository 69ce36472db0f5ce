package relay

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
)

// serviceName is the name under which the service is registered with net/rpc.
const serviceName = "Catalog"

// WatchArgs requests the changes after a revision, or everything.
type WatchArgs struct {
	Everything bool
	After      catalog.Revision
	Wait       time.Duration
	// ConfigurationApart is true if the caller fetches large configurations by themselves. Hosts of earlier builds do not.
	ConfigurationApart bool
	// Version is the version of the configuration that the caller has or fetches. A call does not wait if there is a later one.
	Version catalog.Version
}

// WatchReply is the response to WatchArgs. Compacted is true if the changes after the revision are no longer kept.
type WatchReply struct {
	// Batch has announcements in place of large configurations if the caller fetches these by themselves.
	Batch     catalog.Batch
	Compacted bool
	// Version is the version of the configuration that the host has.
	Version catalog.Version
}

// Upstream returns the state that a host sends to the hosts that follow it.
type Upstream interface {
	View() *catalog.View
	Everything() catalog.Batch
	After(ctx context.Context, revision catalog.Revision, version catalog.Version, wait time.Duration) (catalog.Batch, error)
	Departures(missed catalog.Period) catalog.Departures
}

// service implements the net/rpc methods.
type service struct {
	upstream  Upstream
	encodings encodings
	log       zerolog.Logger
}

// Watch serves one call.
func (s *service) Watch(args WatchArgs, reply *WatchReply) (err error) {
	defer guard.RecoverError(s.log, "relay watch", &err)
	if args.Everything {
		reply.Batch = s.upstream.Everything()
	} else if reply.Batch, err = s.upstream.After(context.Background(), args.After, args.Version, min(args.Wait, maxWait)); err != nil {
		reply.Compacted = true
		return nil
	}
	if c := s.upstream.View().Configuration; c != nil {
		reply.Version = c.Version
	}
	if args.ConfigurationApart {
		reply.Batch.Changes, err = s.encodings.announceLargeConfigurations(reply.Batch.Changes, reply.Version)
	}
	return err
}

const (
	// maxWait limits the wait of a call.
	maxWait = 5 * time.Second
	// maxRequestBytes and maxResponseBytes limit the messages between hosts. A response with everything has about 200 bytes for
	// each entry of the store, of which the largest deployments have a few thousand.
	maxRequestBytes  = 16 << 10
	maxResponseBytes = 16 << 20
)

// Receivers handle the messages of other hosts. A nil receiver is not offered.
type Receivers struct {
	Load  LoadReceiver
	Usage UsageReceiver
}

// Serve serves hosts that connect to a listener until the listener fails or is closed. It returns the error of the listener.
func Serve(listen net.Listener, upstream Upstream, receivers Receivers, log zerolog.Logger) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{upstream: upstream, log: log}); err != nil {
		return err
	}
	if receivers.Load != nil {
		if err := server.RegisterName(loadServiceName, &loadService{receivers.Load, log}); err != nil {
			return err
		}
	}
	if receivers.Usage != nil {
		if err := server.RegisterName(usageServiceName, &usageService{receivers.Usage, log}); err != nil {
			return err
		}
	}
	for {
		conn, err := guard.Accept(listen, log)
		if err != nil {
			return err
		}
		go server.ServeConn(guard.LimitMessages(conn, maxRequestBytes))
	}
}
