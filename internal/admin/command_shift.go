package admin

import (
	"slices"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// ShiftStartBody is the body of the shift-start command.
type ShiftStartBody struct {
	// ID is the id of the shift. Default: the change id.
	ID      string `json:"id,omitempty"`
	Service string `json:"service"`
	// From and To are the names of the source and target regions.
	From string `json:"from"`
	To   string `json:"to"`
	// Fraction (0 to 1) is the share of the service's work in From that moves to To.
	Fraction float64 `json:"fraction"`
	// CapSlots is the maximum number of slots in To that shifted work occupies at once.
	CapSlots int `json:"cap_slots"`
	// RampMs is the time in milliseconds over which the fraction grows from 0 to Fraction. Default 30000.
	RampMs int `json:"ramp_ms,omitempty"`
}

// ShiftStopBody is the body of the shift-stop command.
type ShiftStopBody struct {
	ID string `json:"id"`
}

func (a *API) shiftStart(req request) (*CommandResult, *result.Failure) {
	var body ShiftStartBody
	if failure := req.decodeJSON(&body); failure != nil {
		return nil, failure
	}
	if body.ID == "" {
		body.ID = req.changeID
	}
	return a.applyEdit(req, func(doc *policy.Document) *result.Failure {
		if hasShift(doc, body.ID) {
			return result.Fail(result.InvalidPolicy, "shifts: %q is not allowed: a shift with this id is in force", body.ID)
		}
		doc.Shifts = append(doc.Shifts, policy.Shift{
			ID:          body.ID,
			Service:     body.Service,
			From:        body.From,
			To:          body.To,
			Fraction:    body.Fraction,
			CapSlots:    body.CapSlots,
			RampMs:      body.RampMs,
			StartUnixMs: a.Now().UnixMilli(),
		})
		return nil
	})
}

func (a *API) shiftStop(req request) (*CommandResult, *result.Failure) {
	var body ShiftStopBody
	if failure := req.decodeJSON(&body); failure != nil {
		return nil, failure
	}
	return a.applyEdit(req, func(doc *policy.Document) *result.Failure {
		if !hasShift(doc, body.ID) {
			return result.Fail(result.UnknownObject, "no shift %q is in force", body.ID)
		}
		doc.Shifts = slices.DeleteFunc(doc.Shifts, func(s policy.Shift) bool { return s.ID == body.ID })
		return nil
	})
}

func hasShift(doc *policy.Document, id string) bool {
	return slices.ContainsFunc(doc.Shifts, func(s policy.Shift) bool { return s.ID == id })
}
