// Command turnfork is the gateway; without arguments it serves as NODE_CONFIG says.
package main

import (
	"os"

	"turnfork.dev/turnfork/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
