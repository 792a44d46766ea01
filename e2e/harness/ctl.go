package harness

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Command is a run of the operators' command.
type Command struct {
	args []string
	run  *exec.Cmd
	out  bytes.Buffer
}

// StartCtl starts the operators' command.
func StartCtl(bin, storeAddress string, args ...string) (*Command, error) {
	all := append([]string{"--store", storeAddress, "--environment", Environment, "--operator", "siti"}, args...)
	c := &Command{args: args, run: exec.Command(filepath.Join(bin, "cicadactl"), all...)}
	c.run.Stdout, c.run.Stderr = &c.out, &c.out
	return c, Error.Wrap(c.run.Start())
}

// Wait waits for the command's end and returns its output.
func (c *Command) Wait() (string, error) {
	if err := c.run.Wait(); err != nil {
		return c.out.String(), Error.New("cicadactl %v: %v: %s", c.args, err, c.out.String())
	}
	return c.out.String(), nil
}

// Freeze stops the command without ending it. One that has ended stays ended.
func (c *Command) Freeze() error { return c.signal(syscall.SIGSTOP) }

// Thaw lets a frozen command go on.
func (c *Command) Thaw() error { return c.signal(syscall.SIGCONT) }

func (c *Command) signal(s os.Signal) error {
	if err := c.run.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	return nil
}

// Ctl runs the operators' command and returns its output.
func Ctl(bin, storeAddress string, args ...string) (string, error) {
	c, err := StartCtl(bin, storeAddress, args...)
	if err != nil {
		return "", err
	}
	return c.Wait()
}
