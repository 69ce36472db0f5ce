// Package system runs complete deployments of the real programs on the loopback network and tests them while processes are killed
// or frozen and connections are interrupted.
package system

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Paths of the two programs that TestMain builds.
var entryBinary, standinBinary string

// TestMain builds the programs once, without the race detector, which would slow down ten processes on a busy machine.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "foxtailtack-system-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := 1
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		status = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

func build(dir string) error {
	entryBinary = filepath.Join(dir, "foxtailtack")
	standinBinary = filepath.Join(dir, "standin")
	command := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	command.Dir = filepath.Join("..", "..")
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w: %s", err, output)
	}
	return nil
}
