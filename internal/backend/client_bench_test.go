package backend_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// BenchmarkDo measures one attempt on a stand-in server with zero service time, on a pooled and on a new connection.
func BenchmarkDo(b *testing.B) {
	for _, repeatable := range []bool{true, false} {
		name := "fresh"
		if repeatable {
			name = "pooled"
		}
		b.Run(name, func(b *testing.B) {
			s := backendserver.New(backendserver.Options{ID: "b1"})
			if err := s.Start("127.0.0.1:0"); err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			client := backend.NewClient()
			defer client.Close()
			service := &policy.Service{MaxRequestMs: 5000, MaxResponseBytes: 1 << 20}
			server := &policy.BackendServer{ID: "b1", Address: s.Address(), Slots: 3, MaxConnections: 10}
			for b.Loop() {
				req := &backend.Request{ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("pay"), Repeatable: repeatable}
				if res := client.Do(context.Background(), service, server, req); res.Outcome != backend.Completed {
					b.Fatal(res.Failure)
				}
			}
		})
	}
}
