// Package kwcorrelate hands each answer to the request whose id it carries, also when answers arrive crossed.
package kwcorrelate
