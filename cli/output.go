package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

const outputJSON = "json"

// print writes value as JSON if --output is json, and otherwise the table that
// table writes, without trailing spaces.
func (a *app) print(value any, table func(*tabwriter.Writer)) error {
	if a.globals.Output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return err
	}
	for line := range strings.Lines(text.String()) {
		if _, err := fmt.Fprintln(a.out, strings.TrimRight(line, " \n")); err != nil {
			return err
		}
	}
	return nil
}

// row writes one row of a table.
func row(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
