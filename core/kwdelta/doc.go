// Package kwdelta encodes a new version of a text as its difference to an old one. Successive declarations differ in a few
// routes, while each goes to every entry.
package kwdelta
