// Package fleet starts a whole deployment as separate processes on loopback, for the demo, the measurements and the tests that
// kill, freeze and cut processes.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a started process with its log file.
type Process struct {
	// Name is the id of the host or backend server.
	Name string
	// LogPath is the file with its standard output and error.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func startProcess(dir, name, binary string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The processes end with the one that started them, also when that one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, LogPath: path, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// mostLastLines is the number of bytes at the end of a log that an error shows.
const mostLastLines = 1000

// lastLines returns the end of the log, since the folder of a test is gone after it.
func (p *Process) lastLines() string {
	text, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-mostLastLines):])
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause freezes the process.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process run.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Dump has the process write the stacks of its goroutines to its log and end.
func (p *Process) Dump() error { return p.cmd.Process.Signal(syscall.SIGQUIT) }

// Wait returns the exit error, or an error if the process does not end in time.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("%s still runs after %s", p.Name, timeout)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Usage returns the processor time that the process has used and its resident memory in bytes.
func (p *Process) Usage() (processor time.Duration, resident int64, err error) {
	return readUsage(p.PID())
}
