package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	flags "github.com/jessevdk/go-flags"

	"github.com/guavarill/guavarill/core/manifest"
)

// manifestFile is the positional argument that names a manifest.
type manifestFile struct {
	File flags.Filename `positional-arg-name:"FILE" description:"manifest, YAML or JSON; - reads standard input" required:"yes"`
}

// read returns the content of the file, or of standard input if the name is "-".
func (f manifestFile) read() ([]byte, error) {
	var document []byte
	var err error
	if f.File == "-" {
		document, err = io.ReadAll(os.Stdin)
	} else {
		document, err = os.ReadFile(string(f.File))
	}
	if err != nil {
		return nil, &Error{Code: ExitFailed, Text: "read manifest", Cause: err}
	}
	return document, nil
}

type validateCommand struct {
	app  *app
	Args manifestFile `positional-args:"yes"`
}

// validation is the output of validate.
type validation struct {
	Valid    bool               `json:"valid"`
	Problems []manifest.Problem `json:"problems,omitempty"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	_, refused := manifest.Parse(document)
	result := validation{Valid: refused == nil}
	var invalid *manifest.InvalidError
	if errors.As(refused, &invalid) {
		result.Problems = invalid.Problems
	}
	if err := c.app.print(result, result.write); err != nil {
		return err
	}
	if refused != nil {
		return &Error{Code: ExitRefused, Text: fmt.Sprintf("refused: %d problem(s)", len(result.Problems))}
	}
	return nil
}

func (v validation) write(w *tabwriter.Writer) {
	if v.Valid {
		row(w, "valid")
	}
	problemRows(w, v.Problems)
}

func problemRows(w *tabwriter.Writer, problems []manifest.Problem) {
	for _, p := range problems {
		row(w, "problem", p)
	}
}
