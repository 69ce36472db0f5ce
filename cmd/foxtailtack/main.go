// Command foxtailtack is the entry host process and the operators' command line.
package main

import (
	"os"

	"github.com/foxtailtack/foxtailtack/internal/operator"
)

func main() {
	entry := &entryCommand{stdout: os.Stdout, stderr: os.Stderr}
	gateway := &gatewayCommand{stdout: os.Stdout, stderr: os.Stderr}
	os.Exit(operator.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, entry, gateway))
}
