// Package kwkeepalive configures TCP keep-alive and user timeouts, so that the loss of a peer is detected soon.
package kwkeepalive
