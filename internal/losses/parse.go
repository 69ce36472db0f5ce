// Package losses explains from the logs of entry hosts which requests were late, rejected or failed, and why. It reads lines, does
// no other I/O and decides nothing at run time.
package losses

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("losses")

// maxLineBytes bounds a log line. Longer lines are malformed.
const maxLineBytes = 1 << 20

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes of a request.
const (
	InTime Outcome = iota
	// Late: a successful response after the SLO.
	Late
	// Rejected: not run, and the caller was told so.
	Rejected
	// Failed: any other failure.
	Failed

	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in_time", "late", "rejected", "failed"}

// String returns the snake_case name.
func (o Outcome) String() string { return outcomeNames[o] }

// Request is a request as an entry host logged it. Times that the host did not log are zero.
type Request struct {
	// EndedAt is the time at which the request was completed, relative to an origin that all lines of a log share.
	EndedAt time.Duration
	Route   string
	// CallerRegion is the region of the entry host, ServerRegion that of the latest backend server, or empty.
	CallerRegion, ServerRegion string
	Status, Code               int
	// Reason is the reason of the latest placement decision.
	Reason         string
	SLO            time.Duration
	CallerTimeout  time.Duration
	FailedAttempts int
	// Took is the time from the arrival to the response. Waited is the part of it before the host began to handle the request.
	Took, Waited time.Duration
	// Attempt is the duration of the latest attempt, Connect the part of it in which a connection was opened.
	Attempt, Connect time.Duration
	// Expected is the latency that the decision expected, RoundTrip the network round trip that it includes.
	Expected, RoundTrip time.Duration
	// Running, Waiting and Slots are the load that the response reported. Slots is zero without a report.
	Running, Waiting, Slots int
}

// Log holds the requests of a log.
type Log struct {
	Requests []Request
	// Lines is the number of lines, Malformed the number of lines of requests that could not be decoded. Problems names the first
	// maxProblems of these.
	Lines, Malformed int
	Problems         []string
}

// maxProblems bounds the malformed lines that are named.
const maxProblems = 5

// Read adds the lines of a file to the log. Malformed lines are counted, and the first ones are named in Problems.
func (l *Log) Read(name string, r io.Reader) error {
	reader := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		line, tooLong, err := readLine(reader)
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil && err != io.EOF {
			return Error.New("%s: %v", name, err)
		}
		l.Lines++
		if tooLong {
			l.addProblem(name, number, fmt.Errorf("longer than %d bytes", maxLineBytes))
			continue
		}
		request, ok, parseErr := parseLine(line)
		switch {
		case parseErr != nil:
			l.addProblem(name, number, parseErr)
		case ok:
			l.Requests = append(l.Requests, request)
		}
	}
}

func (l *Log) addProblem(name string, number int, err error) {
	l.Malformed++
	if len(l.Problems) < maxProblems {
		l.Problems = append(l.Problems, fmt.Sprintf("%s:%d: %v", name, number, err))
	}
}

// readLine returns the next line without its end. It skips the rest of a line that is too long.
func readLine(r *bufio.Reader) (line string, tooLong bool, err error) {
	var b strings.Builder
	for {
		part, isPrefix, err := r.ReadLine()
		if err != nil {
			return b.String(), tooLong, err
		}
		if tooLong = tooLong || b.Len()+len(part) > maxLineBytes; !tooLong {
			b.Write(part)
		}
		if !isPrefix {
			return b.String(), tooLong, nil
		}
	}
}

// parseLine decodes the line of a request. It returns false for any other line. Columns of a log collector may precede the pairs; if
// the line has no time of its own, the first of them is a time in seconds.
func parseLine(line string) (Request, bool, error) {
	if !strings.Contains(line, "event=request ") && !strings.HasSuffix(line, "event=request") {
		return Request{}, false, nil
	}
	fields, columns, err := split(line)
	if err != nil {
		return Request{}, false, err
	}
	if fields["event"] != "request" {
		return Request{}, false, nil
	}
	d := decoder{fields: fields}
	request := Request{
		Route: fields["route"], CallerRegion: fields["region"], ServerRegion: fields["server_region"], Reason: fields["reason"],
		Status: d.required("status"), Code: d.required("code"), Took: d.milliseconds("took_ms", true), FailedAttempts: d.number("failed_attempts"),
		SLO: d.milliseconds("slo_ms", false), CallerTimeout: d.milliseconds("caller_timeout_ms", false), Waited: d.milliseconds("waited_ms", false),
		Attempt: d.milliseconds("attempt_ms", false), Connect: d.milliseconds("connect_ms", false), Expected: d.milliseconds("expected_ms", false),
		RoundTrip: d.milliseconds("round_trip_ms", false), Running: d.number("running"), Waiting: d.number("waiting"), Slots: d.number("slots"),
	}
	request.EndedAt = d.endedAt(columns)
	return request, d.err == nil, d.err
}

// split returns the key=value pairs of a line and the columns before the first pair.
func split(line string) (fields map[string]string, columns []string, err error) {
	fields = map[string]string{}
	for rest := strings.TrimLeft(line, " \t"); rest != ""; rest = strings.TrimLeft(rest, " \t") {
		end := strings.IndexAny(rest, "= \t")
		if end < 0 || rest[end] != '=' {
			word, after, _ := strings.Cut(rest, " ")
			if len(fields) == 0 {
				columns = append(columns, word)
			}
			rest = after
			continue
		}
		key, value := rest[:end], rest[end+1:]
		if !strings.HasPrefix(value, `"`) {
			fields[key], rest, _ = strings.Cut(value, " ")
			continue
		}
		quoted, err := strconv.QuotedPrefix(value)
		if err != nil {
			return nil, nil, fmt.Errorf("the value of %s has no closing quote", key)
		}
		fields[key], _ = strconv.Unquote(quoted)
		rest = value[len(quoted):]
	}
	return fields, columns, nil
}

// decoder decodes fields and keeps the first error.
type decoder struct {
	fields map[string]string
	err    error
}

func (d *decoder) number(key string) int {
	text, ok := d.fields[key]
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil && d.err == nil {
		d.err = fmt.Errorf("%s is %q, want a whole number", key, text)
	}
	return n
}

func (d *decoder) required(key string) int {
	if _, ok := d.fields[key]; !ok && d.err == nil {
		d.err = fmt.Errorf("%s is missing", key)
	}
	return d.number(key)
}

func (d *decoder) milliseconds(key string, required bool) time.Duration {
	n := 0
	if required {
		n = d.required(key)
	} else {
		n = d.number(key)
	}
	return time.Duration(n) * time.Millisecond
}

// endedAt returns the time of a line since the Unix epoch, or else the first column.
func (d *decoder) endedAt(columns []string) time.Duration {
	if at, err := time.Parse(time.RFC3339Nano, d.fields["time"]); err == nil {
		return time.Duration(at.UnixNano())
	}
	if len(columns) > 0 {
		if seconds, err := strconv.ParseFloat(columns[0], 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	if d.err == nil {
		d.err = fmt.Errorf("no time: neither a valid time= nor a first column in seconds")
	}
	return 0
}
