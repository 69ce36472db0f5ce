// Package peer implements the net/rpc calls between entry hosts.
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

// maxMessageBytes limits a message between entry hosts: the largest response that a policy allows, with its header.
const maxMessageBytes = 65 << 20

// serviceName is the net/rpc name of the service that each entry host registers.
const serviceName = "Entry"

// Identity identifies one incarnation of an entry host.
type Identity struct {
	Host        string
	Incarnation membership.Incarnation
}

// Goodbye is the departure notice: the process has completed its last request and no longer uses slots. The receiver issued
// the ticket, which limits the age of the notice.
type Goodbye struct {
	From   Identity
	Ticket slots.Ticket
}

// Empty is the argument or reply of a method that has none.
type Empty struct{}

// PartReply is the reply to a request for a part of the configuration.
type PartReply struct {
	Found bool
	Part  []byte
}

// SummaryExchange requests summaries of failure domains. A delegate sends the summary of its own failure domain in Own; a
// member sends none. Known lists the summary versions that the sender has, so that the reply contains only others.
type SummaryExchange struct {
	Own   *membership.Summary
	Known map[string]membership.SummaryVersion
}

// SummaryReply holds the summaries that the requesting host lacks.
type SummaryReply struct {
	Summaries []membership.Summary
}

// CancelRequest identifies a forwarded request to cancel because its caller has left.
type CancelRequest struct {
	RequestID string
}

// Handler handles the calls of other entry hosts.
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
	traffic  trafficCounter

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server for calls on connections that the listener accepts.
func NewServer(listener net.Listener, handler Handler, log zerolog.Logger) (*Server, error) {
	s := &Server{
		listener: listener,
		rpc:      rpc.NewServer(),
		service:  &service{handler: handler, log: log, cancelByRequestID: map[string]context.CancelFunc{}},
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
			defer s.untrack(conn)
			s.rpc.ServeConn(guard.LimitMessages(countedConn{conn, &s.traffic}, maxMessageBytes))
		}()
	}
}

// Bytes returns how many bytes were sent and received on connections that peers opened to this process.
func (s *Server) Bytes() (sent, received uint64) {
	return s.traffic.sent.Load(), s.traffic.received.Load()
}

// Close closes the listener and all open connections.
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

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// service holds the methods that net/rpc exposes.
type service struct {
	handler Handler
	log     zerolog.Logger

	mu                sync.Mutex
	cancelByRequestID map[string]context.CancelFunc
}

// Hello returns the identity of this process. It also serves as keepalive.
func (s *service) Hello(_ Empty, reply *Identity) (err error) {
	defer guard.RecoverError(s.log, "peer Hello", &err)
	*reply = s.handler.Identity()
	return nil
}

// Heartbeat exchanges heartbeats within a failure domain.
func (s *service) Heartbeat(args HeartbeatMessage, reply *HeartbeatMessage) (err error) {
	defer guard.RecoverError(s.log, "peer Heartbeat", &err)
	*reply = NewHeartbeatMessage(s.handler.Heartbeat(args.Heartbeat()))
	return nil
}

// Join asks this host not to use the slots of a starting host.
func (s *service) Join(args slots.JoinRequest, reply *slots.JoinReply) (err error) {
	defer guard.RecoverError(s.log, "peer Join", &err)
	*reply = s.handler.Join(args)
	return nil
}

// Ticket issues the ticket that the sender needs for its departure notice.
func (s *service) Ticket(from string, reply *slots.Ticket) (err error) {
	defer guard.RecoverError(s.log, "peer Ticket", &err)
	*reply = s.handler.Ticket(from)
	return nil
}

// Goodbye receives the departure notice of a host, which no longer uses slots. The reply is true if the notice is accepted.
func (s *service) Goodbye(args Goodbye, reply *bool) (err error) {
	defer guard.RecoverError(s.log, "peer Goodbye", &err)
	*reply = s.handler.Goodbye(args)
	return nil
}

// Grant handles a request for capacity.
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
	s.registerCancel(args.ID, cancel)
	defer s.unregisterCancel(args.ID)
	response := s.handler.Forward(ctx, args)
	if response == nil {
		response = forward.FailureResponse(result.Fail(result.Internal, "no response"))
	}
	*reply = *response
	return nil
}

// Cancel cancels a forwarded request whose caller has left.
func (s *service) Cancel(args CancelRequest, _ *Empty) (err error) {
	defer guard.RecoverError(s.log, "peer Cancel", &err)
	s.mu.Lock()
	cancel := s.cancelByRequestID[args.RequestID]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return nil
}

// ConfigHead returns the head of the accepted configuration.
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

func (s *service) registerCancel(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelByRequestID[id] = cancel
}

func (s *service) unregisterCancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancelByRequestID, id)
}

// keepaliveInterval and keepaliveTimeout limit how long an unresponsive connection stays in use.
const (
	keepaliveInterval = time.Second
	keepaliveTimeout  = 2 * time.Second
)
