package platform

import "time"

// Down says what the platform does with calls of clients.
type Down string

// Values of Down.
const (
	// Up: calls are carried out.
	Up Down = "off"
	// Refuse: calls are answered with status 503.
	Refuse Down = "refuse"
	// Drop: the connection is closed without an answer and the call is not carried out.
	Drop Down = "drop"
)

// faults are the switches in force.
type faults struct {
	down        Down
	slow        time.Duration
	loseAnswers int
	watchLag    time.Duration
}

// SetDown makes calls fail until it is set to Up.
func (p *Platform) SetDown(down Down) {
	p.setFaults(func(f *faults) { f.down = down })
}

// SetSlow delays each call by d before it is carried out.
func (p *Platform) SetSlow(d time.Duration) {
	p.setFaults(func(f *faults) { f.slow = d })
}

// LoseAnswers closes the connection instead of answering the next n writes after they took effect.
func (p *Platform) LoseAnswers(n int) {
	p.setFaults(func(f *faults) { f.loseAnswers = n })
}

// SetWatchLag delays the answer of a watch by d after the change.
func (p *Platform) SetWatchLag(d time.Duration) {
	p.setFaults(func(f *faults) { f.watchLag = d })
}

func (p *Platform) setFaults(set func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set(&p.faults)
}
