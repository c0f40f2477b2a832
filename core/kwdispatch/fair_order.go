package kwdispatch

import (
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// fairOrder gives waiting requests of equal priority turns by workspace: the first request of each comes before the second of any. It
// answers limits below the load of a service, under which the requests of one busy workspace would take all turns.
type fairOrder map[*kwqueue.Waiter]kwid.WorkspaceName

// round returns the round of another request of a workspace.
func (f fairOrder) round(workspace kwid.WorkspaceName) int {
	round := 0
	for _, other := range f {
		if other == workspace {
			round++
		}
	}
	return round
}
