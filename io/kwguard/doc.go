// Package kwguard bounds what clients can make a server keep: connections, heads, unread bytes and time. Every listener for HTTP takes its
// connections and its http.Server from a Guard.
package kwguard
