package kwdispatch

import (
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// maxRounds bounds the rounds of a fairOrder.
const maxRounds = 1 << 10

// fairOrder gives waiting requests of equal priority turns by workspace: the first request of each comes before the second of any. It
// answers limits below the load of a service, under which the requests of one busy workspace would take all turns.
type fairOrder map[*kwqueue.Waiter]kwid.WorkspaceName

// rank returns the priority in the queue of another request of a workspace.
func (f fairOrder) rank(priority int, workspace kwid.WorkspaceName) int {
	round := 0
	for _, other := range f {
		if other == workspace {
			round++
		}
	}
	return priority*maxRounds + min(round, maxRounds-1)
}
