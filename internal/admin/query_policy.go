package admin

import (
	"net/http"
	"strconv"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// HistoryResponse lists accepted versions, newest first.
type HistoryResponse struct {
	Versions []HistoryEntry `json:"versions"`
}

// HistoryEntry is one accepted version.
type HistoryEntry struct {
	Version  policy.Version `json:"version"`
	ChangeID string         `json:"change_id"`
	Operator string         `json:"operator"`
	Reason   string         `json:"reason"`
	// Time is the time of acceptance in RFC 3339 format.
	Time string `json:"time"`
}

// showPolicy handles the policy query: it writes the accepted policy, or the requested version, as TOML.
func (a *API) showPolicy(w http.ResponseWriter, r *http.Request, snapshot *policy.Snapshot) *result.Failure {
	version, doc := snapshot.Version, snapshot.Document
	if text := r.URL.Query().Get("version"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil || number == 0 {
			return result.Fail(result.BadRequest, "version is %q, want a number from 1", text)
		}
		version = policy.Version(number)
		if version != snapshot.Version {
			if doc, err = a.Configuration.Load(r.Context(), version); err != nil {
				return asFailure(err)
			}
		}
	}
	text, err := policy.Encode(doc)
	if err != nil {
		return result.Fail(result.Internal, "%v", err)
	}
	w.Header().Set("Content-Type", "application/toml")
	w.Header().Set(HeaderVersion, strconv.FormatUint(uint64(version), 10))
	_, _ = w.Write(text)
	return nil
}

func (a *API) history(w http.ResponseWriter, r *http.Request, _ *policy.Snapshot) *result.Failure {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxHistoryLimit {
			return result.Fail(result.BadRequest, "limit is %q, want a number from 1 to %d", text, maxHistoryLimit)
		}
		limit = number
	}
	heads, err := a.Configuration.History(r.Context(), limit)
	if err != nil {
		return asFailure(err)
	}
	response := HistoryResponse{Versions: make([]HistoryEntry, 0, len(heads))}
	for _, h := range heads {
		response.Versions = append(response.Versions, toHistoryEntry(h))
	}
	writeJSON(w, http.StatusOK, response)
	return nil
}

func toHistoryEntry(h config.Head) HistoryEntry {
	return HistoryEntry{
		Version:  h.Version,
		ChangeID: h.ChangeID,
		Operator: h.Operator,
		Reason:   h.Reason,
		Time:     h.Time.UTC().Format("2006-01-02T15:04:05Z"),
	}
}
