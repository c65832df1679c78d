// Package core checks what holds for every package below this folder.
package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestCoreStartsNoGoroutine holds the packages of the core, and their tests,
// to one goroutine. CI runs the race detector only over the packages outside
// the core, so a goroutine in here would go unchecked for data races.
func TestCoreStartsNoGoroutine(t *testing.T) {
	files := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if stmt, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s starts a goroutine", files.Position(stmt.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
