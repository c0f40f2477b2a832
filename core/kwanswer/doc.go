// Package kwanswer decides from the head of an endpoint's answer whether it belongs to a request, and what the caller may be told of it.
package kwanswer
