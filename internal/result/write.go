package result

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

// Response headers of a result.
const (
	// Header contains the number and name of the code in each response of an entry host to a caller.
	Header = "Foxtailtack-Result"
	// HeaderRetryAfterMs contains the retry delay in milliseconds, because Retry-After has only whole seconds.
	HeaderRetryAfterMs = "Foxtailtack-Retry-After-Ms"
)

// failureBody is the JSON body of each rejection and failure that a caller receives.
type failureBody struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// Write sends the status, headers and JSON body of a failure to a caller. Retry-After is rounded up to whole seconds.
func Write(w http.ResponseWriter, f *Failure) {
	write(w, f, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
}

// WritePrecise is like Write, but Retry-After has three decimal places, for callers that accept fractions of a second.
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
