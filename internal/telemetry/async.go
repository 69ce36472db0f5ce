package telemetry

import (
	"io"
	"sync/atomic"
)

// asyncQueueLines is the capacity of the queue of log lines. It holds several seconds of log output of an entry host at full
// load while the underlying writer is slow.
const asyncQueueLines = 4096

// AsyncWriter writes lines to another writer in the background. It drops and counts lines when its queue is full, so that
// logging never blocks a request.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
	// stop is closed by Close.
	stop chan struct{}
	// done is closed when all queued lines are written and the background goroutine returns.
	done chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{queue: make(chan []byte, asyncQueueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// run writes queued lines in batches until Close is called and the queue is empty.
func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.queue:
			batch = a.appendQueued(append(batch[:0], line...))
		case <-a.stop:
			batch = a.appendQueued(batch[:0])
		}
		if len(batch) == 0 {
			return
		}
		// The error is ignored: there is no other output on which a failure of the log output could be reported.
		_, _ = w.Write(batch)
	}
}

// maxBatchBytes is the batch size from which no more lines are added.
const maxBatchBytes = 32 << 10

// appendQueued appends queued lines to a batch without waiting. One Write call for several lines costs less than one call
// per line.
func (a *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-a.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if the queue is full, and never blocks.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the background goroutine. Lines written after Close are lost.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}
