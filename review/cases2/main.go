// Command cases2 runs a case of the second review: cases2 NAME FOLDER. It writes record.txt to the folder and exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"turnfork.dev/review/rig2"
)

var cases = map[string]func(*rig2.Case){
	"policy-lost":  policyLost,
	"upgrade-ride": upgradeRide,
	"array-length": arrayLength,
	"http-purge":   httpPurge,
	"http-ban":     httpBan,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 NAME FOLDER")
		os.Exit(rig2.NoRun)
	}
	os.Exit(rig2.Run(os.Args[2], cases[os.Args[1]]))
}
