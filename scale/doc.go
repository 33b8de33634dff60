// Package scale is the rig that measures the distribution of purges and configuration at the size of the deployment. It
// starts voters with their real files, and hollow gateways (package internal/hollow) by the thousand in a few processes,
// all on loopback with mutual TLS. It draws the load from a seed, injects faults through a relay, and reports latencies,
// staleness, traffic, processor time and memory, with a check of convergence and of every claim of freshness.
//
// The processes are one program: a parent starts itself anew in a role, talks with its children in JSON over their
// standard input and output, and a child ends when its standard input does.
package scale
