package backendserver

// Fault is a way in which a request fails.
type Fault string

// Faults of single requests. Connection-level faults are methods of Server.
const (
	// DieMidAnswer runs the request, sends the header and half of the body, and closes the connection.
	DieMidAnswer Fault = "die-mid-answer"
	// DieMidChunk does the same to a chunked answer.
	DieMidChunk Fault = "die-mid-chunk"
	// CloseAfterRead reads the whole request and closes the connection without running it.
	CloseAfterRead Fault = "close-after-read"
	// CloseAfterRun runs the request and closes the connection without an answer.
	CloseAfterRun Fault = "close-after-run"
	// CloseBeforeRead closes a connection directly after accepting it.
	CloseBeforeRead Fault = "close-before-read"
	// CloseDuringRead closes the connection after the first bytes of a request arrived.
	CloseDuringRead Fault = "close-during-read"
	// CloseReused closes a connection that already served a request when the next one arrives.
	CloseReused Fault = "close-reused"
	// SilentNew accepts a connection and never answers on it.
	SilentNew Fault = "silent-new"
	// ShedAll refuses the request as not run although slots are free.
	ShedAll Fault = "shed"
	// NoLength runs the request and answers without a length or chunks, ended by closing the connection.
	NoLength Fault = "no-length"
	// TwoAnswers answers the request and sends a second answer that nobody asked for.
	TwoAnswers Fault = "two-answers"
	// Stall runs the request and answers only after its connection closed.
	Stall Fault = "stall"
)

// requestFaults are taken by the handler; the others are taken by the connection.
var requestFaults = []Fault{DieMidAnswer, DieMidChunk, CloseAfterRead, CloseAfterRun, ShedAll, NoLength, TwoAnswers, Stall}

// Inject makes the next count requests or connections fail; a negative count means all until Clear.
func (s *Server) Inject(f Fault, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f] = count
}

// Clear ends all faults of requests and connections.
func (s *Server) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
}

// take reports whether the fault applies now and counts it.
func (s *Server) take(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.faults[f]
	if left == 0 {
		return false
	}
	if left > 0 {
		s.faults[f] = left - 1
	}
	return true
}

func (s *Server) takeRequestFault() Fault {
	for _, f := range requestFaults {
		if s.take(f) {
			return f
		}
	}
	return ""
}
