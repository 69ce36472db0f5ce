package telemetry

import (
	"io"
	"sync/atomic"
)

// asyncLines is the number of log lines that wait for a slow reader: several seconds of an entry host's full load.
const asyncLines = 4096

// AsyncWriter writes lines in the background. A full queue drops lines and counts them, so that a log never blocks a
// request.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a writer in front of w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// run writes what waits in one call, which costs less than a call for each line.
func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for line := range a.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < 32<<10; {
			select {
			case next, ok := <-a.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// There is no place to report that standard output failed.
		_, _ = w.Write(batch)
	}
}

// Write implements io.Writer. It never blocks.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes what waits. Write must not be called any more.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}
