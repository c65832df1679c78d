package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// daemonPackage is the package of the daemon's program.
const daemonPackage = "github.com/guavarill/guavarill/cmd/guavarill-platform"

// BuildError reports a program that could not be built. Output is what the compiler wrote.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e *BuildError) Error() string { return fmt.Sprintf("%v: %s", e.Cause, e.Output) }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// WithProgram builds the daemon's program, with the race detector if this program has it,
// calls run with its path, and removes it. It returns the exit code of run, 1 if the program
// cannot be built.
func WithProgram(run func(program string) int) int {
	dir, err := os.MkdirTemp("", "guavarill")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, "guavarill-platform")
	if err := build(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run(program)
}

// build builds the program at a path. An error is a *BuildError.
func build(program string) error {
	args := []string{"build", "-o", program}
	if RaceDetector {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, daemonPackage)...).CombinedOutput()
	if err != nil {
		return &BuildError{Output: string(out), Cause: err}
	}
	return nil
}
