package steering

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// ShiftFor returns the planned shift that moves the request with the key out of the region, or false. now is the wall-clock
// time, because the start of a shift is a wall-clock time that operators agreed on.
//
// Every shift of a service out of a region has its own interval of key hashes, in the order of the policy. A shift moves the
// part of its interval that the ramp has reached, so a key that was moved stays moved while the fraction grows.
func (p *Planner) ShiftFor(service, region string, key uint64, now time.Time) (*policy.Shift, bool) {
	position := -1.0
	start := 0.0
	for i := range p.snapshot.Document.Shifts {
		shift := &p.snapshot.Document.Shifts[i]
		if shift.Service != service || shift.From != region {
			continue
		}
		if position < 0 {
			position = keyPosition(service, key)
		}
		if position >= start && position < start+currentFraction(shift, now) {
			return shift, true
		}
		start += shift.Fraction
	}
	return nil, false
}

// currentFraction returns the fraction of the requests that the shift moves at the time. It grows linearly over the ramp.
func currentFraction(shift *policy.Shift, now time.Time) float64 {
	elapsed := float64(now.UnixMilli() - shift.StartUnixMs)
	switch {
	case elapsed < 0:
		return 0
	case elapsed >= float64(shift.RampMs):
		return shift.Fraction
	}
	return shift.Fraction * elapsed / float64(shift.RampMs)
}

// keyPosition hashes a key to the range from 0 to 1. The service is part of the hash, so that the shifts of two services do not
// move the same keys first.
func keyPosition(service string, key uint64) float64 {
	text := make([]byte, 0, 64)
	for range 8 {
		text = append(text, byte(key))
		key >>= 8
	}
	text = append(text, service...)
	const mantissa = 53
	return float64(xxhash.Sum64(text)>>(64-mantissa)) / (1 << mantissa)
}

// ShiftBetween returns the shift of the service from one region to another, or nil. Requests that spill between these regions count
// against its cap too, so that the cap bounds all requests that move there.
func (p *Planner) ShiftBetween(service, from, to string) *policy.Shift {
	for i := range p.snapshot.Document.Shifts {
		s := &p.snapshot.Document.Shifts[i]
		if s.Service == service && s.From == from && s.To == to {
			return s
		}
	}
	return nil
}
