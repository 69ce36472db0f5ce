package listener

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
)

// backlogListener accepts the connections in the kernel's accept queue before it closes its socket. The kernel resets queued
// connections when a listening socket closes, although their callers may have sent a request already. backlogListener also bounds
// the number of connections that are open at the same time.
type backlogListener struct {
	*net.TCPListener
	log zerolog.Logger
	// connectionTokens holds one token for each open connection, up to the limit. It is nil without a limit.
	connectionTokens chan struct{}
	// closed is closed by Close and ends the wait for a token.
	closed chan struct{}

	closeOnce  sync.Once
	mu         sync.Mutex
	unaccepted []*net.TCPConn
}

func newBacklogListener(tcpListener *net.TCPListener, maxConnections int, log zerolog.Logger) *backlogListener {
	l := &backlogListener{TCPListener: tcpListener, log: log, closed: make(chan struct{})}
	if maxConnections > 0 {
		l.connectionTokens = make(chan struct{}, maxConnections)
	}
	return l
}

// Accept waits for a connection token and then for a connection. After Close it returns the connections that were in the accept
// queue, regardless of the limit, because they are open already.
func (l *backlogListener) Accept() (net.Conn, error) {
	release := l.acquireToken()
	accepted, err := l.AcceptTCP()
	if err == nil {
		return &trackedConn{TCPConn: accepted, release: release}, nil
	}
	if release != nil {
		release()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unaccepted) == 0 {
		return nil, err
	}
	accepted = l.unaccepted[0]
	l.unaccepted = l.unaccepted[1:]
	return &trackedConn{TCPConn: accepted}, nil
}

// acquireToken waits for a connection token and returns the function that releases it. It returns nil without a limit and after Close.
func (l *backlogListener) acquireToken() func() {
	if l.connectionTokens == nil {
		return nil
	}
	select {
	case l.connectionTokens <- struct{}{}:
		return sync.OnceFunc(func() { <-l.connectionTokens })
	case <-l.closed:
		return nil
	}
}

// Close accepts the queued connections, which later calls of Accept return, and closes the socket.
func (l *backlogListener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		unaccepted, acceptErr := l.acceptQueued()
		if acceptErr != nil {
			l.log.Warn().Err(acceptErr).Str("address", l.Addr().String()).Msg("waiting_connections_lost")
		}
		l.mu.Lock()
		l.unaccepted = unaccepted
		l.mu.Unlock()
		err = l.TCPListener.Close()
		close(l.closed)
	})
	return err
}

// acceptQueued accepts connections until the accept queue is empty. The socket is non-blocking.
func (l *backlogListener) acceptQueued() ([]*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var conns []*net.TCPConn
	var acceptErr error
	err = raw.Control(func(listening uintptr) {
		for {
			fd, err := acceptOnce(int(listening))
			switch err {
			case nil:
			case syscall.EINTR, syscall.ECONNABORTED:
				continue
			case syscall.EAGAIN:
				return
			default:
				acceptErr = err
				return
			}
			accepted, err := tcpConn(fd)
			if err != nil {
				acceptErr = err
				return
			}
			conns = append(conns, accepted)
		}
	})
	if err == nil {
		err = acceptErr
	}
	return conns, err
}

// acceptOnce accepts one connection and marks its descriptor close-on-exec, so that child processes do not inherit it.
func acceptOnce(listenFD int) (int, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	fd, _, err := syscall.Accept(listenFD)
	if err != nil {
		return 0, err
	}
	syscall.CloseOnExec(fd)
	return fd, nil
}

// tcpConn converts the descriptor of an accepted connection to a net.TCPConn and closes the original descriptor.
func tcpConn(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "accepted")
	conn, err := net.FileConn(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}
