// Package consensus is the Raft core: elections with pre-vote and check-quorum, log replication, snapshots,
// learners and single-member changes. It does no I/O and reads no clock; the caller passes ticks, times,
// messages and a seeded random source, and carries out what Ready returns.
package consensus
