// Package kwupstream is the HTTP/1.1 client for the endpoints of a fleet without agents. It sends one request at a time on
// each keep-alive connection, reports whether a failed request may have reached the endpoint, and splits event streams
// between events.
package kwupstream
