package usagecap

import (
	"math"
	"time"
)

// rate estimates a rate of events per second with an exponentially decaying average.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) decay(now time.Time, constant time.Duration) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.perSecond *= math.Exp(-elapsed.Seconds() / constant.Seconds())
		r.at = now
	}
}

// add records events at a time.
func (r *rate) add(count float64, now time.Time, constant time.Duration) {
	r.decay(now, constant)
	r.perSecond += count / constant.Seconds()
}

// value returns the estimate at a time.
func (r *rate) value(now time.Time, constant time.Duration) float64 {
	r.decay(now, constant)
	return r.perSecond
}
