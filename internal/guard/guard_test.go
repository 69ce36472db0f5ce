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

// A loop that ended by one unexpected error took the process down, or would never run again.
func TestLoopRunsAgainAfterAnUnexpectedError(t *testing.T) {
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

// failingListener fails before it accepts.
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

// A process that was short of descriptors for a moment ended, since its listener for peers did.
func TestAcceptWaitsOutALackOfDescriptors(t *testing.T) {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = bound.Close() }()
	l := &failingListener{Listener: bound, errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, syscall.ECONNABORTED}}
	if _, err := Accept(l, zerolog.Nop()); !errors.Is(err, net.ErrClosed) || len(l.errs) != 0 {
		t.Errorf("error %v with %d left, want the end of the listener", err, len(l.errs))
	}
}

// pieces returns the bytes of a text in pieces of the given lengths.
type pieces struct {
	net.Conn
	text    []byte
	lengths []int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := min(len(b), len(p.text))
	if len(p.lengths) > 0 {
		n = min(n, p.lengths[0])
		p.lengths = p.lengths[1:]
	}
	copy(b, p.text[:n])
	p.text = p.text[n:]
	return n, nil
}

// Messages up to the bound must pass however their bytes arrive, and the first longer one must end the connection.
func TestMessagesUpToTheBoundPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 8).Draw(t, "sizes")
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		for _, size := range sizes {
			if err := encoder.Encode(bytes.Repeat([]byte{'x'}, size)); err != nil {
				t.Fatal(err)
			}
		}
		const most = 1500
		decoder := gob.NewDecoder(LimitMessages(&pieces{text: stream.Bytes(), lengths: rapid.SliceOfN(rapid.IntRange(1, 700), 0, 20).Draw(t, "pieces")}, most))
		for _, size := range sizes {
			var got []byte
			err := decoder.Decode(&got)
			// A message has a few bytes besides its value.
			switch {
			case size <= most-10 && (err != nil || len(got) != size):
				t.Fatalf("a message of %d bytes: %v, %d bytes", size, err, len(got))
			case size > most && err == nil:
				t.Fatalf("a message of %d bytes passed", size)
			}
			if err != nil {
				return
			}
		}
	})
}

// Lengths that no message can have must not be waited for.
func TestImpossibleLengthsEndTheConnection(t *testing.T) {
	for _, text := range []string{"\x80", "\xf0aaaaaaaaaaaaaaaa", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\xfc\x40\x00\x00\x00more"} {
		conn := LimitMessages(&pieces{text: []byte(text)}, 1<<20)
		// The bytes of the length itself may pass.
		if got, err := io.ReadAll(conn); len(got) > mostDigits || !Error.Has(err) {
			t.Errorf("%q: %q, %v", text, got, err)
		}
	}
}
