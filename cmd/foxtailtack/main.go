// Command foxtailtack runs the entry host process and provides the operators' command line.
package main

import (
	"os"

	"github.com/foxtailtack/foxtailtack/internal/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, entryCommand(os.Stdout, os.Stderr), gatewayCommand(os.Stdout, os.Stderr),
		&configurationCommand{os.Stdin, os.Stdout, os.Stderr}))
}
