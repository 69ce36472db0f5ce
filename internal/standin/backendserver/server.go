package backendserver

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Server is a stand-in. It is an http.Handler; Start gives it a listener of its own.
type Server struct {
	options Options
	started time.Time
	router  *mux.Router
	network network

	mu       sync.Mutex
	rng      *rand.Rand
	faults   map[Fault]int
	stats    Stats
	draining notices
	load     loadReport
}

// Answer is the JSON body of an answer.
type Answer struct {
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Padding   string `json:"padding,omitempty"`
}

// New returns a stand-in without a listener.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		options: options,
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(options.Seed, 1)),
		faults:  map[Fault]int{},
		stats: Stats{
			ID:          options.ID,
			ByKey:       map[string]int{},
			ByRequestID: map[string]int{},
			Timeouts:    map[string]string{},
		},
	}
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

func (s *Server) routes() *mux.Router {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc("/healthz", s.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	s.controlRoutes(router.PathPrefix("/standin").Subrouter())
	router.PathPrefix("/").HandlerFunc(s.serveWork)
	return router
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.notices().health {
		w.Header().Set(headerDraining, "true")
		writeJSON(w, http.StatusServiceUnavailable, map[string]bool{"draining": true})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"draining": false})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// serveWork runs one request. The body is read first, since net/http reports a closed connection only after that.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerRequestID)
	s.received(id, r.Header.Get("Foxtailtack-Timeout-Ms"))
	fault := s.takeRequestFault()
	if fault == CloseAfterRead {
		panic(http.ErrAbortHandler)
	}
	if s.notices().answers {
		w.Header().Set(headerDraining, "true")
	}
	if !s.begin(r.Header.Get(headerIdempotencyKey), id, fault == ShedAll) {
		w.Header().Set(headerNotRun, "1")
		w.Header().Set(headerRequestID, id)
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no free slot"})
		return
	}
	if !s.work(r, fault) {
		return
	}
	s.answer(w, r, fault, string(body))
}

func (s *Server) received(id, timeout string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Received++
	if id != "" {
		s.stats.Timeouts[id] = timeout
	}
}

// work holds the slot for the service time. It reports false if the connection closed before.
func (s *Server) work(r *http.Request, fault Fault) bool {
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	if fault == Stall {
		timer.Stop()
	}
	select {
	case <-timer.C:
		s.end()
		return true
	case <-r.Context().Done():
		s.endCancelled()
		return false
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault, body string) {
	answer := Answer{
		Server:    s.options.ID,
		RequestID: r.Header.Get(headerRequestID),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      body,
	}
	answer.Padding = strings.Repeat("x", max(0, s.options.AnswerBytes-len(body)))
	data, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, answer.RequestID)
	switch fault {
	case CloseAfterRun:
		panic(http.ErrAbortHandler)
	case DieMidAnswer:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		abortAfter(w, data[:len(data)/2])
	case DieMidChunk:
		abortAfter(w, data[:len(data)/2])
	case NoLength, TwoAnswers:
		s.answerRaw(w, fault, answer.RequestID, data)
	default:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		_, _ = w.Write(data)
	}
}

func abortAfter(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// answerRaw writes answers that net/http would not write.
func (s *Server) answerRaw(w http.ResponseWriter, fault Fault, id string, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if fault == NoLength {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", data)
		_ = conn.Close()
		return
	}
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerRequestID, id, len(data), data)
	_, _ = io.WriteString(conn, one+one)
}
