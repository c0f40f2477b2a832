// Package kwcbor encodes in CBOR what the system keeps for itself: log records and snapshots, whose size only disks
// bound.
package kwcbor
