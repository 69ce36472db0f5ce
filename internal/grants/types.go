// Package grants issues and holds expiring grants of capacity between entry hosts of different failure domains, and limits
// the capacity that planned shifts use.
package grants

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// MaxLife is the longest lifetime of a grant.
const MaxLife = 2 * time.Second

// Request is a grant request: it asks a host for capacity.
type Request struct {
	From    string
	Service string
	Rank    rank.Rank
	// Want is the number of concurrent requests that the requesting host would spill.
	Want int
}

// Grant is the response to a Request. It promises to admit Count concurrent requests until Life has passed since the Request
// was sent.
type Grant struct {
	// Count is 0 if the request is rejected. The next one may then be sent after Life.
	Count int
	// Life is measured from the time at which the holder sent the Request, so that clocks of two hosts are not compared.
	Life time.Duration
}
