package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/fleet"
)

// serveControl serves the switches of a deployment that is kept running, at an address that the kernel chooses:
//
//	POST /standin/isolate?failure_domain=F   cuts F from the other failure domains and the store
//	POST /standin/heal                       ends the cut
//	POST /standin/start-host?id=H            starts an entry host that has ended
//
// It returns the base URL and ends with ctx.
func serveControl(ctx context.Context, deployment *fleet.Fleet) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: controlHandler(deployment), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func controlHandler(deployment *fleet.Fleet) http.Handler {
	router := http.NewServeMux()
	// mu keeps two calls from starting the same host.
	var mu sync.Mutex
	router.HandleFunc("POST /standin/isolate", func(w http.ResponseWriter, r *http.Request) {
		domain := r.FormValue("failure_domain")
		if !slices.ContainsFunc(deployment.Snapshot().Document.FailureDomains, named(domain)) {
			http.Error(w, "failure_domain: want the name of a failure domain", http.StatusBadRequest)
			return
		}
		deployment.Isolate(domain)
		w.WriteHeader(http.StatusNoContent)
	})
	router.HandleFunc("POST /standin/heal", func(w http.ResponseWriter, _ *http.Request) {
		deployment.Cut(nil)
		w.WriteHeader(http.StatusNoContent)
	})
	router.HandleFunc("POST /standin/start-host", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		process := deployment.Hosts[r.FormValue("id")]
		if process == nil || process.Running() {
			http.Error(w, "id: want an entry host of the first policy that has ended", http.StatusBadRequest)
			return
		}
		if err := deployment.StartHost(process.Name); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return router
}

func named(name string) func(policy.FailureDomain) bool {
	return func(d policy.FailureDomain) bool { return d.Name == name }
}
