// Package scale is a test rig that measures the distribution of purges and configuration at the size of the full
// deployment. It starts voters that write their production files, and thousands of hollow gateways (package
// internal/hollow) in a few processes, connected over loopback with mutual TLS. It generates the load from a seed, injects
// faults by signals to processes and through a network relay, and reports latencies, staleness, traffic, processor time
// and memory. It also checks that all gateways converge and that no gateway falsely claims to be fresh.
//
// All processes run the same executable: the parent process starts it again with a role, and exchanges requests and
// responses in JSON with each child over the child's standard input and output. A child exits when its standard input is
// closed.
package scale
