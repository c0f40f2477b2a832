package kwdirectentry

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"
	"weak"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/io/kwupstream"
)

// freed waits until the garbage collector has freed what a weak pointer points to.
func freed[T any](p weak.Pointer[T]) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		if p.Value() == nil {
			return true
		}
	}
	return false
}

// TestRequestsKeepNoReplacedDeclaration guards against an entry that runs out of memory beside changes of a large declaration, since each
// request in progress keeps the one that it arrived under.
func TestRequestsKeepNoReplacedDeclaration(t *testing.T) {
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			place.run(t, func(g *Gateway) {
				d := g.view.Load().index.Declaration
				declaration, routes := weak.Make(d), weak.Make(&d.Routes[0])
				declare(g, func(*kwdeclaration.Declaration) {})
				if !freed(declaration) || !freed(routes) {
					t.Error("the replaced declaration: got it kept by a request in progress, want it freed")
				}
			})
		})
	}
}

// TestRequestsKeepNoKeysOfTheirWorkspace guards against requests that keep all workspaces and their keys.
func TestRequestsKeepNoKeysOfTheirWorkspace(t *testing.T) {
	g := newTestGateway(t, "", "")
	declare(g, func(d *kwdeclaration.Declaration) {
		d.KeyCheck = kwdeclaration.KeyRequired
		d.Workspaces = []kwdeclaration.Workspace{{Name: "first", Keys: []string{"other"}}, {Name: "own", Keys: []string{"k"}}}
	})
	r := httptest.NewRequest(http.MethodPost, "/lookups/x", nil)
	r.Host = "h"
	q := &request{r: r, arrived: time.Now(), view: g.view.Load(), meta: kwupstream.RequestMeta{ID: "r", Credential: "k"}}
	if err := g.resolveRoute(q); err != nil {
		t.Fatal(err)
	}
	workspaces := weak.Make(&g.view.Load().index.Declaration.Workspaces[0])
	declare(g, func(d *kwdeclaration.Declaration) { d.Workspaces = nil })
	if !freed(workspaces) {
		t.Error("the replaced workspaces: got them kept by a request, want them freed")
	}
	if got := q.workspaceName(); got != "own" {
		t.Errorf("got workspace %q, want own", got)
	}
}
