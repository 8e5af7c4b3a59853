// Package fulmarfall is the root of a query tier over many shards. The library's entry point is
// package node; docs/design.md describes the packages and which of them perform no I/O.
package fulmarfall
