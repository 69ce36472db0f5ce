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
	// stop is closed to end the writer, done when what waited is written.
	stop chan struct{}
	done chan struct{}
}

// NewAsyncWriter returns a writer in front of w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// run writes lines until the writer is closed.
func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.gather(append(batch[:0], line...))
		case <-a.stop:
			batch = a.gather(batch[:0])
		}
		if len(batch) == 0 {
			return
		}
		// There is no place to report that standard output failed.
		_, _ = w.Write(batch)
	}
}

// maxBatchBytes bounds what is written in one call.
const maxBatchBytes = 32 << 10

// gather adds the lines that wait to a batch. One call for several lines costs less than a call for each.
func (a *AsyncWriter) gather(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
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

// Close writes what waits. Later lines are lost.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}
