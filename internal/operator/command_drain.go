package operator

import (
	"context"

	"github.com/google/subcommands"

	"github.com/foxtailtack/foxtailtack/internal/admin"
)

func (e *environment) drainCommand() subcommands.Command {
	return e.newDrainCommand("drain", "stop new work to a backend server")
}

func (e *environment) undrainCommand() subcommands.Command {
	return e.newDrainCommand("undrain", "allow new work to a drained backend server again")
}

// newDrainCommand returns the drain or the undrain command; name is also the name of the request to the administration API.
func (e *environment) newDrainCommand(name, synopsis string) subcommands.Command {
	var f changeFlags
	return &leafCommand{
		env: e, name: name, contactsEntryHost: true, usage: "BACKEND_SERVER", argumentCount: 1,
		synopsis:      synopsis,
		registerFlags: f.register,
		run: func(ctx context.Context, c *commandInvocation) error {
			return c.sendJSONChange(ctx, &f, name, admin.DrainBody{BackendServer: c.args[0]})
		},
	}
}
