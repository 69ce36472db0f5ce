package admin_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/admin/admintest"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
)

// Guards against logging the error message of a rejected command as its event name. A log search for event=admin_command
// at the start of the line then missed all rejected commands.
func TestRejectedCommandIsLoggedWithEventName(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	router := mux.NewRouter()
	admin.New(admin.Options{HostID: "h1", Configuration: admintest.NewConfiguration(startTime), Log: log}).Register(router)
	request := httptest.NewRequest(http.MethodPost, admin.CommandPath+"drain", strings.NewReader("{}"))
	router.ServeHTTP(httptest.NewRecorder(), request)
	line := out.String()
	if strings.Count(line, "event=") != 1 || !strings.Contains(line, "level=warn event=admin_command") || !strings.Contains(line, "error=") {
		t.Fatalf("got %q, want one event=admin_command with the message in error=", line)
	}
}
