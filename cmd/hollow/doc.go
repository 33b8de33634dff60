// Command hollow measures the distribution of purges and configuration with voters and hollow gateways on this machine's
// loopback. See package scale for what it starts and how it measures.
//
// The full size, quiet and through a voter's death with the reconnection of a tenth of the gateways:
//
//	go build -o bin/ ./cmd/hollow
//	bin/hollow -count 3400 -for 60s -report docs/scale/quiet-3400.json
//	bin/hollow -count 3400 -for 60s -faults voter-death -report docs/scale/voter-death-3400.json
//
// Other sizes, and the table and the plot over them:
//
//	for n in 100 300 1000; do bin/hollow -count $n -for 60s -report docs/scale/quiet-$n.json; done
//	bin/hollow plot -o docs/scale/quiet.svg docs/scale/quiet-*.json
//
// The former state, in which all members vote:
//
//	bin/hollow -mode voters -for 10s -members 3,5,9,15,25,51,101 -report docs/scale/voters.json
//
// A run prints its figures on standard output as lines of Go's benchmark format, for benchstat, and its progress and checks
// on standard error. It exits with 1 where a check fails. All processes that it starts end with it.
package main
