// Package kwkeepalive sets keep-alive and user timeout of TCP connections, so that a silent peer is noticed soon.
package kwkeepalive
