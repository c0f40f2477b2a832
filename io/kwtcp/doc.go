// Package kwtcp sets up TCP connections so that a peer that has gone silent is noticed soon.
package kwtcp
