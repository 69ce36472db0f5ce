package usagecap

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("usagecap")

// key identifies a customer in messages.
type key uint64

func keyOf(customer string) key { return key(xxhash.Sum64String(customer)) }

// Address names the receiver and role of a report.
type Address struct {
	Host  string
	Group int
	// Root is true if the receiver is to act as the root of the group, which creates tokens; otherwise it passes tokens on.
	Root bool
}

// Report is what a host tells an allocator.
type Report struct {
	// Sender and Incarnation identify the process that reports. Group and Root are those of Address, FromDomain is true if the sender
	// reports for the hosts that report to it.
	Sender      string
	Incarnation int64
	Group       int
	Root        bool
	FromDomain  bool
	// Sequence increases with each report of a sender.
	Sequence uint64
	// Ceded is the accrual in host-seconds that the sender gives to the receiver.
	Ceded float64
	// Lines holds the encoded lines.
	Lines []byte
}

// Reply is the response to a Report.
type Reply struct {
	// Accepted is false if the report is older than another one of the sender, or the receiver has no caps.
	Accepted bool
	// Grants holds keys and tokens; Hot holds keys of customers whose cap is nearly used up, with the part of their requests that may
	// use credit.
	Grants []byte
	Hot    []byte
}

// line is the part of a report about one customer. All figures but demand are tokens.
type line struct {
	key      key
	demand   float64
	want     float64
	held     float64
	returned float64
	borrowed float64
}

// unit is the resolution of figures in messages.
const unit = 1.0 / 16

// maxFigure bounds a figure in a message.
const maxFigure = 1e9

func appendFigure(b []byte, f float64, round func(float64) float64) []byte {
	return binary.AppendUvarint(b, uint64(round(min(max(0, f), maxFigure)/unit)))
}

func appendLine(b []byte, l line) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(l.key))
	b = appendFigure(b, l.demand, math.Ceil)
	b = appendFigure(b, l.want, math.Ceil)
	b = appendFigure(b, l.held, math.Ceil)
	b = appendFigure(b, l.returned, math.Floor)
	return appendFigure(b, l.borrowed, math.Ceil)
}

// reader decodes keys and figures. After an error failed is true and all results are zero.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) key() key {
	if len(r.rest) < 8 {
		r.fail()
		return 0
	}
	k := binary.BigEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	return key(k)
}

func (r *reader) figure() float64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || float64(v)*unit > maxFigure {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return float64(v) * unit
}

// part returns a number from 0 to 1.
func (r *reader) part() float64 {
	if len(r.rest) == 0 {
		r.fail()
		return 0
	}
	p := float64(r.rest[0]) / math.MaxUint8
	r.rest = r.rest[1:]
	return p
}

func (r *reader) fail() { r.rest, r.failed = nil, true }

// decodeLines returns the lines of a report.
func decodeLines(b []byte) ([]line, error) {
	r := reader{rest: b}
	var lines []line
	for len(r.rest) > 0 {
		lines = append(lines, line{r.key(), r.figure(), r.figure(), r.figure(), r.figure(), r.figure()})
	}
	if r.failed {
		return nil, Error.New("a report with %d bytes cannot be decoded", len(b))
	}
	return lines, nil
}

// hotSet holds the customers whose cap is nearly used up, each with the part of its requests that may use credit. An entry for
// allCustomers stands for all.
type hotSet map[key]float64

const allCustomers key = 0

// part returns the part of a customer's requests that may use credit. Before the first reply it is zero.
func (h hotSet) part(k key) float64 {
	if h == nil {
		return 0
	}
	if part, all := h[allCustomers]; all {
		return part
	}
	if part, isHot := h[k]; isHot {
		return part
	}
	return 1
}

func appendHot(b []byte, k key, part float64) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(k))
	return append(b, uint8(min(max(0, part), 1)*math.MaxUint8))
}

type grant struct {
	key    key
	tokens float64
}

func appendGrant(b []byte, g grant) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(g.key))
	return appendFigure(b, g.tokens, math.Floor)
}

// decodeReply returns the grants and the hot customers of a reply.
func decodeReply(reply *Reply) ([]grant, hotSet, error) {
	r := reader{rest: reply.Grants}
	var grants []grant
	for len(r.rest) > 0 {
		grants = append(grants, grant{r.key(), r.figure()})
	}
	hot := hotSet{}
	h := reader{rest: reply.Hot}
	for len(h.rest) > 0 {
		k := h.key()
		hot[k] = h.part()
	}
	if r.failed || h.failed {
		return nil, nil, Error.New("a reply cannot be decoded")
	}
	return grants, hot, nil
}

// roundDown returns the figure as it arrives in a message.
func roundDown(f float64) float64 { return math.Floor(max(0, f)/unit) * unit }

func seconds(d time.Duration) float64 { return max(0, d.Seconds()) }
