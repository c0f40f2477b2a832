// Package kwupstream is the HTTP/1.1 client to endpoints: one request at a time on kept connections, with exact
// knowledge of whether a request was sent, and event streams cut at whole events.
package kwupstream
