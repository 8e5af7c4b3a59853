// Package consensus implements the Raft consensus algorithm: leader election with pre-vote and check-quorum, log
// replication, snapshots, learners and single-server membership changes. It does no I/O and reads no clock: the caller
// passes ticks, times, messages and a seeded random source, and performs the work that Ready returns.
package consensus
