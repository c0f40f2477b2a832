// Package kwclient decides what a server allows its clients: how many connections they may open and which of them are closed for others,
// how large and how late a head may be, and what a request keeps of the memory of the process.
package kwclient
