package listener

import (
	"net/http"
	"slices"
)

// methodsWithBody are the methods whose requests usually have a body.
var methodsWithBody = []string{http.MethodPost, http.MethodPut, http.MethodPatch}

// lacksLength reports whether a request before HTTP/1.1 should state the length of its body and does not. net/http ignores chunks before
// HTTP/1.1 and would take the request for one without a body (RFC 1945, section 7.2.2; RFC 9112, section 6.1).
func lacksLength(r *http.Request) bool {
	return !r.ProtoAtLeast(1, 1) && r.Header.Get("Content-Length") == "" && slices.Contains(methodsWithBody, r.Method)
}

// rejectWithoutLength wraps a handler to reject requests whose body cannot be read, and closes their connections: what follows would be
// taken for the next request.
func rejectWithoutLength(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lacksLength(r) {
			w.Header().Set("Connection", "close")
			http.Error(w, "a request before HTTP/1.1 needs a Content-Length", http.StatusBadRequest)
			return
		}
		handler.ServeHTTP(w, r)
	})
}
