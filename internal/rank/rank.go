// Package rank defines the three ranks of work.
package rank

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("rank")

// Rank orders work by urgency. A smaller value is more urgent.
type Rank uint8

// The ranks, most urgent first.
const (
	// Urgent is for payments and paid orders.
	Urgent Rank = iota
	// Interactive is for lookups that a person waits for.
	Interactive
	// Deferrable is for bookings, reservations and free use.
	Deferrable
)

// Count is the number of ranks. Rank values are smaller than Count.
const Count = 3

var names = [Count]string{"urgent", "interactive", "deferrable"}

// All returns the ranks, most urgent first.
func All() [Count]Rank {
	return [Count]Rank{Urgent, Interactive, Deferrable}
}

// Parse returns the rank with the given name. For an unknown name it returns Deferrable and an error.
func Parse(name string) (Rank, error) {
	for i, n := range names {
		if n == name {
			return Rank(i), nil
		}
	}
	return Deferrable, Error.New("unknown rank %q: want urgent, interactive or deferrable", name)
}

// LessUrgent returns the less urgent of two ranks.
func LessUrgent(a, b Rank) Rank {
	return max(a, b)
}

// String returns the name of the rank, or "unknown" if the rank is out of range.
func (r Rank) String() string {
	if int(r) >= Count {
		return "unknown"
	}
	return names[r]
}

// MarshalText encodes the rank as its name.
func (r Rank) MarshalText() ([]byte, error) {
	if int(r) >= Count {
		return nil, Error.New("rank %d is out of range", r)
	}
	return []byte(names[r]), nil
}

// UnmarshalText decodes a rank from its name.
func (r *Rank) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}
