package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

const outputJSON = "json"

// print writes value as JSON, or what table writes.
func (a *app) print(value any, table func(*tabwriter.Writer)) error {
	if a.globals.Output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// row writes one line of a table.
func row(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
