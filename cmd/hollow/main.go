package main

import (
	"os"

	"turnfork.dev/turnfork/scale"
)

func main() {
	scale.ChildMain()
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
