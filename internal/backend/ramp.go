package backend

import "time"

// ramp limits the slots of a backend server whose caches are cold; the limit grows linearly.
type ramp struct {
	// start is zero if there is no ramp.
	start    time.Time
	duration time.Duration
}

func (r ramp) done(now time.Time) bool {
	return r.start.IsZero() || now.Sub(r.start) >= r.duration
}

// allowed returns how many of the usable slots may be used: 1 at the start of the ramp, all at its end. Each entry host has its own
// ramp over its own slots, so the backend server starts with one concurrent request from each entry host.
func (r ramp) allowed(usable int, now time.Time) int {
	if usable <= 1 || r.done(now) {
		return usable
	}
	share := float64(now.Sub(r.start)) / float64(r.duration)
	return 1 + int(share*float64(usable-1))
}
