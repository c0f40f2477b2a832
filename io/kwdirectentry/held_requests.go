package kwdirectentry

import "knapweedproxy/core/kwquarantine"

// setDigest computes what a request is known by when it comes again under another ID, at this or another entry.
func (q *request) setDigest() {
	caller := ""
	if q.workspace != nil {
		caller = string(q.workspace.Name)
	}
	q.digest = kwquarantine.DigestRequest(stripPort(q.r.Host), q.r.RequestURI, caller, q.body)
}
