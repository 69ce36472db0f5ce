package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/telemetry"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// Guards against a blocked log output blocking requests, and against dropped lines that are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	slow := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewAsyncWriter(slow)
	const lines = 10_000
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped, so the queue has no bound")
	}
	close(slow.release)
	w.Close()
	if written := strings.Count(slow.out.String(), "\n"); uint64(written)+w.Dropped() != lines {
		t.Fatalf("%d lines written and %d dropped, want %d in all", written, w.Dropped(), lines)
	}
}
