// Command guavarill is the operators' command; see package cli.
package main

import (
	"os"

	"github.com/guavarill/guavarill/cli"
)

func main() { os.Exit(int(cli.Main(os.Args[1:], os.Stdout, os.Stderr))) }
