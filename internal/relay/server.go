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

// serviceName is the net/rpc name of the service.
const serviceName = "Catalog"

// WatchArgs asks for changes after a revision, or for everything.
type WatchArgs struct {
	Everything bool
	After      catalog.Revision
	Wait       time.Duration
}

// WatchReply is the answer. Compacted says that the changes after the revision are not kept.
type WatchReply struct {
	Batch     catalog.Batch
	Compacted bool
}

// Upstream is what a host tells those that follow it.
type Upstream interface {
	Everything() catalog.Batch
	After(ctx context.Context, revision catalog.Revision, wait time.Duration) (catalog.Batch, error)
}

// service is the receiver of the calls.
type service struct {
	upstream Upstream
	log      zerolog.Logger
}

// Watch answers one call.
func (s *service) Watch(args WatchArgs, reply *WatchReply) (err error) {
	defer guard.Call(s.log, "relay watch", &err)
	if args.Everything {
		reply.Batch = s.upstream.Everything()
		return nil
	}
	batch, err := s.upstream.After(context.Background(), args.After, min(args.Wait, longestWait))
	if err != nil {
		reply.Compacted = true
		return nil
	}
	reply.Batch = batch
	return nil
}

const (
	// longestWait bounds the wait of a call.
	longestWait = 5 * time.Second
	// mostQuestion and mostNews bound the messages between hosts, in bytes: news of everything has some 200 bytes for each entry of the
	// store, of which the largest deployments have a few thousand.
	mostQuestion = 16 << 10
	mostNews     = 16 << 20
)

// Serve answers hosts that connect to a listener, until that fails or is closed. It returns the reason.
func Serve(listen net.Listener, upstream Upstream, log zerolog.Logger) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{upstream, log}); err != nil {
		return err
	}
	for {
		conn, err := guard.Accept(listen, log)
		if err != nil {
			return err
		}
		go server.ServeConn(guard.LimitMessages(conn, mostQuestion))
	}
}
