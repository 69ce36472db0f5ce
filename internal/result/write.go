package result

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Headers that go with a result.
const (
	// Header carries the number and name of the code on each answer of an entry host to a caller.
	Header = "Foxtailtack-Result"
	// HeaderRetryAfterMs carries the time to come back in milliseconds, since Retry-After has whole seconds.
	HeaderRetryAfterMs = "Foxtailtack-Retry-After-Ms"
)

// failureBody is the JSON body of each refusal and failure that a caller gets.
type failureBody struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// Write sends a failure to a caller: status, headers and JSON body. Retry-After has whole seconds.
func Write(w http.ResponseWriter, f *Failure) {
	write(w, f, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
}

// WritePrecise is Write for callers that read fractions of a second in Retry-After.
func WritePrecise(w http.ResponseWriter, f *Failure) {
	write(w, f, strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
}

func write(w http.ResponseWriter, f *Failure, retryAfter string) {
	description := f.Code.Describe()
	header := w.Header()
	header.Set(Header, f.Code.String())
	header.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter)
		header.Set(HeaderRetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(description.Status)
	_ = json.NewEncoder(w).Encode(failureBody{
		Code:         f.Code,
		Name:         description.Name,
		Message:      f.Message,
		NotRun:       f.Code.NotRun(),
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	})
}
