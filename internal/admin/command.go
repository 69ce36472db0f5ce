package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// maxPolicyBytes limits the size of a policy in TOML. A policy with 160,000 blocks takes 10.3 MB.
	maxPolicyBytes = 32 << 20
	// maxCommandBytes limits the size of the JSON body of all commands other than apply.
	maxCommandBytes = 64 << 10
	// maxHeaderValueBytes limits the length of the change id and of the reason.
	maxHeaderValueBytes = 256
)

// CommandResult is the response to a command.
type CommandResult struct {
	config.Accepted
	// BaseVersion is the version that the change is based on.
	BaseVersion policy.Version `json:"base_version"`
	// DryRun is true if the change was only checked and not applied.
	DryRun bool `json:"dry_run"`
	// Unchanged is true if the accepted policy already equals the requested one. No new version is created then.
	Unchanged bool `json:"unchanged"`
	// Changes lists the fields that differ from the base version.
	Changes []policy.Difference `json:"changes"`
}

// request is a decoded command request.
type request struct {
	*http.Request
	changeID string
	reason   string
	// operator is the name of the authenticated operator. It is empty before the first policy is applied.
	operator string
	// base is the version in HeaderBaseVersion; hasBase is false if the request has no such header.
	base    policy.Version
	hasBase bool
	dryRun  bool
	body    []byte
}

// commandHandler returns the HTTP handler of a command. It reads the request, calls handle, logs the outcome and writes the
// response.
func (a *API) commandHandler(name string, handle func(request) (*CommandResult, *result.Failure)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderHost, a.HostID)
		req, failure := a.readRequest(w, r)
		var res *CommandResult
		if failure == nil {
			res, failure = handle(req)
		}
		a.logCommand(name, req, res, failure)
		if failure != nil {
			writeFailure(w, failure)
			return
		}
		writeJSON(w, http.StatusOK, res)
	}
}

func (a *API) logCommand(name string, req request, res *CommandResult, failure *result.Failure) {
	if failure != nil {
		a.Log.Warn().Str("command", name).Str("operator", req.operator).Str("change_id", req.changeID).
			Str("result", failure.Code.Describe().Name).Str("error", failure.Message).Msg("admin_command")
		return
	}
	a.Log.Info().Str("command", name).Str("operator", req.operator).Str("change_id", req.changeID).
		Str("result", "ok").Uint64("version", uint64(res.Version)).Bool("dry_run", res.DryRun).Str("reason", req.reason).Msg("admin_command")
}

// readRequest reads the headers and the body of a request. It authenticates the operator before it reads the body, so that
// unauthenticated senders can't make this process read large bodies. Before the first policy is accepted no operator is
// known, so the body is read without authentication.
func (a *API) readRequest(w http.ResponseWriter, r *http.Request) (request, *result.Failure) {
	req := request{Request: r, dryRun: r.URL.Query().Get("dry_run") == "1"}
	if snapshot := a.Configuration.Snapshot(); snapshot != nil {
		operator, failure := authenticate(r, snapshot)
		if failure != nil {
			return req, failure
		}
		req.operator = operator.Name
	}
	if failure := req.readHeaders(); failure != nil {
		return req, failure
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPolicyBytes))
	if err != nil {
		return req, result.Fail(result.BadRequest, "cannot read the request body: %v", err)
	}
	req.body = body
	return req, nil
}

func (r *request) readHeaders() *result.Failure {
	r.changeID = r.Header.Get(HeaderChangeID)
	if r.changeID == "" || len(r.changeID) > maxHeaderValueBytes {
		return result.Fail(result.BadRequest, "header %s must have 1 to %d bytes", HeaderChangeID, maxHeaderValueBytes)
	}
	r.reason = r.Header.Get(HeaderReason)
	if len(r.reason) > maxHeaderValueBytes {
		return result.Fail(result.BadRequest, "header %s must have at most %d bytes", HeaderReason, maxHeaderValueBytes)
	}
	text := r.Header.Get(HeaderBaseVersion)
	if text == "" {
		return nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return result.Fail(result.BadRequest, "header %s is %q, want a version number", HeaderBaseVersion, text)
	}
	r.base, r.hasBase = policy.Version(base), true
	return nil
}

// decodeJSON decodes the JSON body of a command into dst.
func (r request) decodeJSON(dst any) *result.Failure {
	if len(r.body) > maxCommandBytes {
		return result.Fail(result.BadRequest, "the request body has %d bytes, want at most %d", len(r.body), maxCommandBytes)
	}
	if err := json.Unmarshal(r.body, dst); err != nil {
		return result.Fail(result.BadRequest, "the request body is not valid JSON for this command: %v", err)
	}
	return nil
}
