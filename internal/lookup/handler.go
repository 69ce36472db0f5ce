package lookup

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Path is the URL path of the look-up endpoint.
const Path = "/v1/lookup"

// Register adds the look-up endpoint to a router.
func Register(router *mux.Router, resolver *Resolver, view View) {
	router.HandleFunc(Path, Handler(resolver, view)).Methods(http.MethodGet, http.MethodHead)
}

// Handler serves GET /v1/lookup?service=S[&client=IP]. The default client is the remote address of the
// connection.
func Handler(resolver *Resolver, view View) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		client, failure := clientAddress(query.Get("client"), r.RemoteAddr)
		if failure != nil {
			result.Write(w, failure)
			return
		}
		body, failure := resolve(resolver, query.Get("service"), client, view)
		if failure != nil {
			result.Write(w, failure)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Header().Set(result.Header, result.OK.String())
		_, _ = w.Write(body)
	}
}

func resolve(resolver *Resolver, service string, client netip.Addr, view View) ([]byte, *result.Failure) {
	if service == "" {
		return nil, result.Fail(result.UnknownService, "the parameter service is missing")
	}
	return resolver.ResolveJSON(service, client, view, time.Now())
}

func clientAddress(parameter, remoteAddress string) (netip.Addr, *result.Failure) {
	if parameter == "" {
		// A remote address that is not an IP address, for example of a Unix socket, counts as a client without a block.
		address, _ := netip.ParseAddrPort(remoteAddress)
		return address.Addr(), nil
	}
	client, err := netip.ParseAddr(parameter)
	if err != nil {
		return netip.Addr{}, result.Fail(result.BadClientAddress, "client %q is not an IP address", parameter)
	}
	return client, nil
}
