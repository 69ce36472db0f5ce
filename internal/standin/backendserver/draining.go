package backendserver

// notices says where the stand-in reports that it is leaving.
type notices struct{ health, answers bool }

// Values of the parameter notice of POST /standin/drain.
const (
	noticeHealth  = "health"
	noticeAnswers = "answers"
)

// SetDraining makes the stand-in say at its health endpoint and in its answers that it is leaving, or that it is back.
func (s *Server) SetDraining(draining bool) {
	s.setNotices(notices{health: draining, answers: draining})
}

// drainBy makes the stand-in say that it is leaving by one of the notices only; any other name means both.
func (s *Server) drainBy(notice string) {
	s.setNotices(notices{health: notice != noticeAnswers, answers: notice != noticeHealth})
}

func (s *Server) setNotices(n notices) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = n
}

func (s *Server) notices() notices {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Draining reports whether the stand-in says anywhere that it is leaving.
func (s *Server) Draining() bool {
	n := s.notices()
	return n.health || n.answers
}
