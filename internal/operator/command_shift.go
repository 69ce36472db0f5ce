package operator

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/admin"
)

func (e *environment) shiftGroup() subcommands.Command {
	return &commandGroup{env: e, name: "shift", synopsis: "start and stop planned traffic shifts", commands: []subcommands.Command{
		e.shiftStart(), e.shiftStop(),
	}}
}

func (e *environment) shiftStart() subcommands.Command {
	var f changeFlags
	var body admin.ShiftStartBody
	var ramp time.Duration
	return &leafCommand{
		env: e, name: "start", contactsEntryHost: true,
		synopsis: "move a fraction of a service's work from one region to another",
		registerFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&body.ID, "id", "", "name of the shift; default: the change id")
			flags.StringVar(&body.Service, "service", "", "service (required)")
			flags.StringVar(&body.From, "from", "", "region to move work from (required)")
			flags.StringVar(&body.To, "to", "", "region to move work to (required)")
			flags.Float64Var(&body.Fraction, "fraction", 0, "share of the service's work in -from, above 0 and at most 1 (required)")
			flags.IntVar(&body.CapSlots, "cap", 0, "largest number of slots in -to that shifted work holds at once (required)")
			flags.DurationVar(&ramp, "ramp", 30*time.Second, "time in which the fraction grows from 0")
			f.register(flags)
		},
		run: func(ctx context.Context, c *commandInvocation) error {
			if body.Service == "" || body.From == "" || body.To == "" || body.Fraction == 0 || body.CapSlots == 0 {
				return usageError("-service, -from, -to, -fraction and -cap are required")
			}
			body.RampMs = int(ramp.Milliseconds())
			return c.sendJSONChange(ctx, &f, "shift-start", body)
		},
	}
}

func (e *environment) shiftStop() subcommands.Command {
	var f changeFlags
	return &leafCommand{
		env: e, name: "stop", contactsEntryHost: true, usage: "SHIFT", argumentCount: 1,
		synopsis:      "stop a planned traffic shift",
		registerFlags: f.register,
		run: func(ctx context.Context, c *commandInvocation) error {
			return c.sendJSONChange(ctx, &f, "shift-stop", admin.ShiftStopBody{ID: c.args[0]})
		},
	}
}
