package relay

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
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
type service struct{ upstream Upstream }

// Watch answers one call.
func (s *service) Watch(args WatchArgs, reply *WatchReply) error {
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

// longestWait bounds the wait of a call.
const longestWait = 5 * time.Second

// Serve answers hosts that connect to a listener, until that fails or is closed. It returns the reason.
func Serve(listen net.Listener, upstream Upstream) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{upstream}); err != nil {
		return err
	}
	for {
		conn, err := listen.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}
