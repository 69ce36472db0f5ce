package guard

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// Guards against a panic in a loop that ends the process or leaves the loop stopped.
func TestLoopRestartsAfterPanic(t *testing.T) {
	var log bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	runs := 0
	Loop(ctx, zerolog.New(&log), "follower", func(context.Context) {
		if runs++; runs == 2 {
			cancel()
			return
		}
		panic("unexpected")
	})
	if runs != 2 || !strings.Contains(log.String(), "unexpected_error") || !strings.Contains(log.String(), "follower") {
		t.Errorf("%d runs, log %s", runs, log.String())
	}
}

// failingListener returns its errors in turn and then net.ErrClosed.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a short lack of file descriptors that ends the process because its peer listener returns the error.
func TestAcceptRetriesWhenDescriptorsRunOut(t *testing.T) {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = bound.Close() }()
	l := &failingListener{Listener: bound, errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, syscall.ECONNABORTED}}
	if _, err := Accept(l, zerolog.Nop()); !errors.Is(err, net.ErrClosed) || len(l.errs) != 0 {
		t.Errorf("error %v with %d errors left, want net.ErrClosed with none", err, len(l.errs))
	}
}

// chunkedConn returns its data in reads of the given lengths.
type chunkedConn struct {
	net.Conn
	data    []byte
	lengths []int
}

func (p *chunkedConn) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := min(len(b), len(p.data))
	if len(p.lengths) > 0 {
		n = min(n, p.lengths[0])
		p.lengths = p.lengths[1:]
	}
	copy(b, p.data[:n])
	p.data = p.data[n:]
	return n, nil
}

// Guards against a limit that depends on how the bytes of messages are split between reads: messages up to the limit must be
// received, and the first longer one must fail.
func TestLimitMessagesPassesMessagesUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 8).Draw(t, "sizes")
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		for _, size := range sizes {
			if err := encoder.Encode(bytes.Repeat([]byte{'x'}, size)); err != nil {
				t.Fatal(err)
			}
		}
		const maxBytes = 1500
		decoder := gob.NewDecoder(LimitMessages(&chunkedConn{data: stream.Bytes(), lengths: rapid.SliceOfN(rapid.IntRange(1, 700), 0, 20).Draw(t, "lengths")}, maxBytes))
		for _, size := range sizes {
			var got []byte
			err := decoder.Decode(&got)
			// The encoding adds a few bytes to the value.
			switch {
			case size <= maxBytes-10 && (err != nil || len(got) != size):
				t.Fatalf("a message of %d bytes: %v, %d bytes", size, err, len(got))
			case size > maxBytes && err == nil:
				t.Fatalf("a message of %d bytes was received", size)
			}
			if err != nil {
				return
			}
		}
	})
}

// Guards against waiting for the bytes of a message whose length is impossible or above the limit.
func TestLimitMessagesRejectsImpossibleLengths(t *testing.T) {
	for _, text := range []string{"\x80", "\xf0aaaaaaaaaaaaaaaa", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\xfc\x40\x00\x00\x00more"} {
		conn := LimitMessages(&chunkedConn{data: []byte(text)}, 1<<20)
		// The bytes of the length itself may be returned.
		if got, err := io.ReadAll(conn); len(got) > maxLengthBytes || !Error.Has(err) {
			t.Errorf("%q: %q, %v", text, got, err)
		}
	}
}
