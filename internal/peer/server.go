// Package peer is the net/rpc connection between entry hosts.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/grants"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// mostMessage bounds a message between entry hosts in bytes: the largest answer that a policy allows, with its header.
const mostMessage = 65 << 20

// serviceName is the net/rpc name of the service that each entry host registers.
const serviceName = "Entry"

// Identity names one life of an entry host.
type Identity struct {
	Host        string
	Incarnation membership.Incarnation
}

// Goodbye says that a process ended its last request and uses no slots any more. The ticket comes from the receiver and
// bounds the age of the message.
type Goodbye struct {
	From   Identity
	Ticket slots.Ticket
}

// Empty is the argument or reply of a call without one.
type Empty struct{}

// PartReply is the answer to a request for a part of the configuration.
type PartReply struct {
	Found bool
	Part  []byte
}

// SummaryExchange carries summaries of failure domains. A delegate sends the summary of its own failure domain; a member
// sends none. Known tells which summaries the sender has, so that only others come back.
type SummaryExchange struct {
	Own   *membership.Summary
	Known map[string]membership.SummaryVersion
}

// SummaryReply holds the summaries that the asking host lacks.
type SummaryReply struct {
	Summaries []membership.Summary
}

// CancelRequest stops a forwarded request whose caller has gone.
type CancelRequest struct {
	RequestID string
}

// Handler answers the calls of other entry hosts.
type Handler interface {
	Identity() Identity
	Heartbeat(membership.Heartbeat) membership.Heartbeat
	Join(slots.JoinRequest) slots.JoinReply
	Ticket(from string) slots.Ticket
	Goodbye(Goodbye) bool
	Grant(grants.Request) grants.Grant
	Forward(context.Context, *forward.Request) *forward.Response
	ConfigHead() config.Head
	ConfigPart(config.Digest) ([]byte, bool)
	Summaries(SummaryExchange) SummaryReply
}

// Server accepts connections of other entry hosts.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	service  *service
	count    byteCount

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server for calls that arrive at the listener.
func NewServer(listener net.Listener, handler Handler, log zerolog.Logger) (*Server, error) {
	s := &Server{
		listener: listener,
		rpc:      rpc.NewServer(),
		service:  &service{handler: handler, log: log, running: map[string]context.CancelFunc{}},
		conns:    map[net.Conn]struct{}{},
	}
	if err := s.rpc.RegisterName(serviceName, s.service); err != nil {
		return nil, Error.Wrap(err)
	}
	return s, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		conn, err := guard.Accept(s.listener, s.service.log)
		if err != nil {
			return Error.Wrap(err)
		}
		s.track(conn)
		go func() {
			defer s.forget(conn)
			s.rpc.ServeConn(guard.LimitMessages(countedConn{conn, &s.count}, mostMessage))
		}()
	}
}

// Bytes returns how many bytes were sent and received on connections that peers opened to this process.
func (s *Server) Bytes() (sent, received uint64) {
	return s.count.sent.Load(), s.count.received.Load()
}

// Close stops accepting and breaks open connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return Error.Wrap(err)
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// service holds the methods that net/rpc exposes.
type service struct {
	handler Handler
	log     zerolog.Logger

	mu      sync.Mutex
	running map[string]context.CancelFunc
}

// Hello tells the caller of the connection which process answers. It also serves as keepalive.
func (s *service) Hello(_ Empty, reply *Identity) (err error) {
	defer guard.RecoverError(s.log, "peer Hello", &err)
	*reply = s.handler.Identity()
	return nil
}

// Heartbeat exchanges news inside a failure domain.
func (s *service) Heartbeat(args HeartbeatMessage, reply *HeartbeatMessage) (err error) {
	defer guard.RecoverError(s.log, "peer Heartbeat", &err)
	*reply = NewHeartbeatMessage(s.handler.Heartbeat(args.Heartbeat()))
	return nil
}

// Join asks this host to leave the slots of a starting host alone.
func (s *service) Join(args slots.JoinRequest, reply *slots.JoinReply) (err error) {
	defer guard.RecoverError(s.log, "peer Join", &err)
	*reply = s.handler.Join(args)
	return nil
}

// Ticket issues the ticket that the sender needs for its goodbye.
func (s *service) Ticket(from string, reply *slots.Ticket) (err error) {
	defer guard.RecoverError(s.log, "peer Ticket", &err)
	*reply = s.handler.Ticket(from)
	return nil
}

// Goodbye says that the sender uses no slots any more. The reply tells whether the message counts.
func (s *service) Goodbye(args Goodbye, reply *bool) (err error) {
	defer guard.RecoverError(s.log, "peer Goodbye", &err)
	*reply = s.handler.Goodbye(args)
	return nil
}

// Grant asks for capacity.
func (s *service) Grant(args grants.Request, reply *grants.Grant) (err error) {
	defer guard.RecoverError(s.log, "peer Grant", &err)
	*reply = s.handler.Grant(args)
	return nil
}

// Forward runs a request on behalf of another entry host.
func (s *service) Forward(args *forward.Request, reply *forward.Response) (err error) {
	defer guard.RecoverError(s.log, "peer Forward", &err)
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	s.started(args.ID, cancel)
	defer s.ended(args.ID)
	response := s.handler.Forward(ctx, args)
	if response == nil {
		response = forward.FailureResponse(result.Fail(result.Internal, "no response"))
	}
	*reply = *response
	return nil
}

// Cancel stops a forwarded request whose caller has gone.
func (s *service) Cancel(args CancelRequest, _ *Empty) (err error) {
	defer guard.RecoverError(s.log, "peer Cancel", &err)
	s.mu.Lock()
	cancel := s.running[args.RequestID]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return nil
}

// ConfigHead returns the accepted configuration's head.
func (s *service) ConfigHead(_ Empty, reply *config.Head) (err error) {
	defer guard.RecoverError(s.log, "peer ConfigHead", &err)
	*reply = s.handler.ConfigHead()
	return nil
}

// ConfigPart returns one part of the configuration.
func (s *service) ConfigPart(digest config.Digest, reply *PartReply) (err error) {
	defer guard.RecoverError(s.log, "peer ConfigPart", &err)
	reply.Part, reply.Found = s.handler.ConfigPart(digest)
	return nil
}

// Summaries exchanges summaries of failure domains.
func (s *service) Summaries(args SummaryExchange, reply *SummaryReply) (err error) {
	defer guard.RecoverError(s.log, "peer Summaries", &err)
	*reply = s.handler.Summaries(args)
	return nil
}

func (s *service) started(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = cancel
}

func (s *service) ended(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}

// keepaliveInterval and keepaliveTimeout bound how long a connection that has gone silent stays in use.
const (
	keepaliveInterval = time.Second
	keepaliveTimeout  = 2 * time.Second
)
