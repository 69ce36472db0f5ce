// Package guard keeps a panic or a malformed message from ending the process.
package guard

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/wait"
)

// Error is the class of errors of this package.
var Error = errs.Class("guard")

const (
	// loopRestartDelay is the time between the end of a loop and its next start, so that a loop that panics repeatedly uses little
	// processor time.
	loopRestartDelay = time.Second
	// minAcceptDelay and maxAcceptDelay bound the delay after a temporary error of Accept, such as a lack of file descriptors.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// maxStackBytes bounds the stack trace in a log line.
	maxStackBytes = 4096
)

// LogPanic logs the value that recover returned, with the place of the panic and the stack trace.
func LogPanic(log zerolog.Logger, where string, recovered any) {
	stack := debug.Stack()
	log.Error().Str("where", where).Interface("error", recovered).Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("unexpected_error")
}

// Loop calls loop until ctx is done. If loop returns or panics earlier, it is started again after a delay.
func Loop(ctx context.Context, log zerolog.Logger, name string, loop func(context.Context)) {
	for ctx.Err() == nil {
		Run(ctx, log, name, loop)
		if ctx.Err() == nil {
			wait.For(ctx, loopRestartDelay)
		}
	}
}

// Run calls step once. A panic in step is logged and not passed on.
func Run(ctx context.Context, log zerolog.Logger, name string, step func(context.Context)) {
	defer func() {
		if r := recover(); r != nil {
			LogPanic(log, name, r)
		}
	}()
	step(ctx)
}

// RecoverError recovers from a panic in a call and sets the call's error instead. It must be deferred directly.
func RecoverError(log zerolog.Logger, name string, err *error) {
	if r := recover(); r != nil {
		LogPanic(log, name, r)
		*err = Error.New("panic in %s", name)
	}
}

// Accept waits for a connection. After a temporary error, such as a lack of file descriptors or a connection that was closed
// before it was accepted, it tries again with an exponential delay.
func Accept(listener net.Listener, log zerolog.Logger) (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := listener.Accept()
		if err == nil || !isTemporary(err) {
			return conn, err
		}
		log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("connection_not_accepted")
		time.Sleep(delay)
	}
}

// isTemporary reports whether Accept may succeed after this error.
func isTemporary(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
