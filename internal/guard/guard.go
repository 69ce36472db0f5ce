// Package guard keeps one unexpected error or malformed message from ending the whole process.
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
	// loopPause is the time between the end of a loop by an unexpected error and its next start, so that an error which repeats
	// uses little processor time.
	loopPause = time.Second
	// firstAcceptPause and lastAcceptPause bound the time between two tries to accept a connection while descriptors are short.
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = time.Second
	// mostStack bounds the stack in a log line, in bytes.
	mostStack = 4096
)

// Report logs what recover returned, with the place and the stack.
func Report(log zerolog.Logger, where string, recovered any) {
	stack := debug.Stack()
	log.Error().Str("where", where).Interface("error", recovered).Bytes("stack", stack[:min(len(stack), mostStack)]).Msg("unexpected_error")
}

// Loop runs a loop until ctx ends, also if it ends by an unexpected error.
func Loop(ctx context.Context, log zerolog.Logger, name string, loop func(context.Context)) {
	for ctx.Err() == nil {
		Once(ctx, log, name, loop)
		if ctx.Err() == nil {
			wait.For(ctx, loopPause)
		}
	}
}

// Once runs a step, which an unexpected error ends.
func Once(ctx context.Context, log zerolog.Logger, name string, loop func(context.Context)) {
	defer func() {
		if r := recover(); r != nil {
			Report(log, name, r)
		}
	}()
	loop(ctx)
}

// Call turns an unexpected error of a call into the call's error. Use it with defer.
func Call(log zerolog.Logger, name string, err *error) {
	if r := recover(); r != nil {
		Report(log, name, r)
		*err = Error.New("unexpected error in %s", name)
	}
}

// Accept waits for a connection. A lack of descriptors or a connection that ended before it was accepted is waited out.
func Accept(listen net.Listener, log zerolog.Logger) (net.Conn, error) {
	for pause := firstAcceptPause; ; pause = min(2*pause, lastAcceptPause) {
		conn, err := listen.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		log.Warn().Err(err).Str("address", listen.Addr().String()).Msg("connection_not_accepted")
		time.Sleep(pause)
	}
}

// passes reports whether an error of Accept may pass.
func passes(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
