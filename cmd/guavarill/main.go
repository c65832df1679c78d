// Command guavarill is the command-line client for operators; package cli implements
// it.
package main

import (
	"os"

	"github.com/guavarill/guavarill/cli"
)

func main() { os.Exit(int(cli.Main(os.Args[1:], os.Stdout, os.Stderr))) }
