package admin

import (
	"net/http"
	"strings"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// AllTeams is the team value of operators that may change all parts of the policy.
const AllTeams = "*"

// bearerToken returns the bearer token of a request, or an empty string if it has none.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// authenticate returns the operator whose bearer token the request carries, as configured in the policy.
func authenticate(r *http.Request, snapshot *policy.Snapshot) (*policy.Operator, *result.Failure) {
	token := bearerToken(r)
	if token == "" {
		return nil, result.Fail(result.Unauthenticated, "the request has no bearer token")
	}
	operator := snapshot.OperatorByToken(token)
	if operator == nil {
		return nil, result.Fail(result.Unauthenticated, "no operator has this token")
	}
	return operator, nil
}

// authenticateFirstApply returns the operator of the first apply. With an empty store no operator is configured yet, so the
// bearer token must be that of an operator of all teams in the document that is being applied.
func authenticateFirstApply(r *http.Request, doc *policy.Document) (*policy.Operator, *result.Failure) {
	hash := policy.HashToken(bearerToken(r))
	for i := range doc.Operators {
		o := &doc.Operators[i]
		if o.Team == AllTeams && strings.EqualFold(o.TokenSHA256, hash) {
			return o, nil
		}
	}
	return nil, result.Fail(result.Unauthenticated, "the first policy must have an operator of team %q with the token of this request", AllTeams)
}
