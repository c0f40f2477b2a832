// Package kwcbor encodes and decodes the data that the system writes for itself, such as log records and snapshots, as
// CBOR. The size of this data is limited only by the disk.
package kwcbor
