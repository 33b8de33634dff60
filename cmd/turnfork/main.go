// Command turnfork is the gateway. Without arguments it serves with the configuration that NODE_CONFIG names.
package main

import (
	"os"

	"turnfork.dev/turnfork/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
