package admin

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// FailureBody is the JSON body of a failure response.
type FailureBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	// NextStep tells the operator how to proceed.
	NextStep string `json:"next_step"`
}

// nextSteps holds the instruction to the operator for each result code of the API.
var nextSteps = map[result.Code]string{
	result.BadRequest:          "Correct the request; see docs/administration.md for the syntax.",
	result.BadClientAddress:    "Give the client as an IP address.",
	result.UnknownService:      "Choose a service of `foxtailtack policy show`.",
	result.InvalidPolicy:       "Correct each listed problem and send the change again.",
	result.VersionConflict:     "Read the accepted policy with `foxtailtack policy show`, make the change again on it and send it with the new base version.",
	result.StoreUnavailable:    "Nothing was changed and serving goes on. Try again when the store answers.",
	result.StoreOutcomeUnknown: "Look for the change id in `foxtailtack policy history`. Repeat the change with the same change id if it is not there.",
	result.Unauthenticated:     "Give the file with your operator token (-token-file).",
	result.OtherTeam:           "Ask an operator of the team that owns the part, or one of team \"*\".",
	result.VersionNotFound:     "Choose a version of `foxtailtack policy history`.",
	result.NoPolicy:            "Apply the first policy with `foxtailtack policy apply`.",
	result.UnknownObject:       "Choose a name of `foxtailtack policy show`.",
	result.NotReady:            "Try another entry host, or wait until this one has its configuration.",
	result.HostLeaving:         "Start replacements for the leaving hosts.",
}

// NextStep returns the instruction to the operator for a result code.
func NextStep(code result.Code) string {
	if step, ok := nextSteps[code]; ok {
		return step
	}
	return "Check the log of the entry host that sent the response."
}

// asFailure converts an error of a Configuration method to a failure.
func asFailure(err error) *result.Failure {
	var invalid *policy.InvalidError
	if errors.As(err, &invalid) {
		return result.Fail(result.InvalidPolicy, "%s", invalid.Error())
	}
	return result.FromError(err)
}

func writeFailure(w http.ResponseWriter, f *result.Failure) {
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	description := f.Code.Describe()
	writeJSON(w, description.Status, FailureBody{
		Code:     f.Code,
		Name:     description.Name,
		Message:  f.Message,
		NextStep: NextStep(f.Code),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
