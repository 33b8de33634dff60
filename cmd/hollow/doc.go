// Command hollow measures the distribution of purges and configuration from voters to hollow gateways (gateways without a
// data plane) over the loopback interface. See package scale for the processes that it starts and how it measures.
//
// The full deployment size, first without faults, then with the crash of a voter and the restart of a tenth of the
// gateways:
//
//	go build -o bin/ ./cmd/hollow
//	bin/hollow -count 3400 -for 60s -report docs/scale/quiet-3400.json
//	bin/hollow -count 3400 -for 60s -faults voter-death -report docs/scale/voter-death-3400.json
//
// Smaller sizes, and a table and a plot of the results:
//
//	for n in 100 300 1000; do bin/hollow -count $n -for 60s -report docs/scale/quiet-$n.json; done
//	bin/hollow plot -o docs/scale/quiet.svg docs/scale/quiet-*.json
//
// The earlier architecture, in which all members vote:
//
//	bin/hollow -mode voters -for 10s -members 3,5,9,15,25,51,101 -report docs/scale/voters.json
//
// A run prints its results to standard output in Go's benchmark format, for benchstat, and its progress and checks to
// standard error. The exit status is 1 if a check fails. All child processes end with the command.
package main
