// Package kwbuffer shares out the memory of a process among the requests and answers that it buffers.
package kwbuffer
