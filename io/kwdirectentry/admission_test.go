package kwdirectentry

import (
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// TestClassesUnderAdmission guards against counts and decisions where no priorities differ, and against workspaces whose priority is missed.
func TestClassesUnderAdmission(t *testing.T) {
	engine := &kwdeclaration.Engine{Layers: 8}
	urgent, same := 0, 2
	key := []string{"k"}
	route := func(kind kwdeclaration.CallKind, priority int, public bool) kwdeclaration.Route {
		return kwdeclaration.Route{Kind: kind, Priority: priority, Public: public, Targets: []kwdeclaration.Target{{Service: "llm", Weight: 1}, {Service: "records", Weight: 1}}}
	}
	streams := kwdeclaration.Streaming
	for _, c := range []struct {
		name       string
		routes     []kwdeclaration.Route
		workspaces []kwdeclaration.Workspace
		// keyCheck is KeyIgnored for declarations without a list of workspaces.
		keyCheck kwdeclaration.KeyCheck
		want     []int
	}{
		{"different priorities", []kwdeclaration.Route{route(streams, 2, false), route(streams, 0, false)}, nil, kwdeclaration.KeyIgnored, []int{0, 2}},
		{"equal priorities", []kwdeclaration.Route{route(streams, 2, false), route(streams, 2, false)}, nil, kwdeclaration.KeyIgnored, nil},
		{"calls of another priority", []kwdeclaration.Route{route(streams, 2, false), route(kwdeclaration.Idempotent, 0, false)}, nil, kwdeclaration.KeyIgnored, nil},
		{"workspace with a priority", []kwdeclaration.Route{route(streams, 2, false)}, []kwdeclaration.Workspace{{Keys: key, Priority: &urgent}, {Keys: key}}, kwdeclaration.KeyRequired, []int{0, 2}},
		{"workspaces of one priority", []kwdeclaration.Route{route(streams, 2, false), route(streams, 1, false)}, []kwdeclaration.Workspace{{Keys: key, Priority: &same}}, kwdeclaration.KeyRequired, nil},
		{"public route", []kwdeclaration.Route{route(streams, 2, true)}, []kwdeclaration.Workspace{{Keys: key, Priority: &urgent}}, kwdeclaration.KeyRequired, nil},
		{"workspace with a priority and no key", []kwdeclaration.Route{route(streams, 2, false)}, []kwdeclaration.Workspace{{Keys: []string{""}, Priority: &urgent}, {Keys: key}}, kwdeclaration.KeyRequired, nil},
		{"keys of no workspace", []kwdeclaration.Route{route(streams, 2, false), route(streams, 0, false)}, nil, kwdeclaration.KeyRequired, nil},
		{"public routes beside keys of no workspace", []kwdeclaration.Route{route(streams, 2, true), route(streams, 0, true), route(streams, 1, false)}, nil, kwdeclaration.KeyRequired, []int{0, 2}},
	} {
		v := emptyView()
		v.index = kwdeclaration.NewIndex(&kwdeclaration.Declaration{
			Services: []kwdeclaration.Service{{Name: "llm", Engine: engine}, {Name: "records"}}, Routes: c.routes, Workspaces: c.workspaces, KeyCheck: c.keyCheck,
		})
		if got := classesOf(v); !reflect.DeepEqual(got["llm"], c.want) || got["records"] != nil {
			t.Errorf("%s: got %v, want %v for llm alone", c.name, got, c.want)
		}
	}
}

// TestWithheldRequestIsRejected guards against a request beyond the share of its class that reaches a server, and against an answer without a
// time to come back.
func TestWithheldRequestIsRejected(t *testing.T) {
	model := startModelServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 1\n\n")
	})
	g := newTestGateway(t, model, "127.0.0.1:1")
	now := time.Now()
	g.scheduler.mu.Lock()
	g.scheduler.admission.SetServices(map[kwid.ServiceName][]int{"llm": {-1, 0}})
	for range 3 {
		g.scheduler.admission.Admit(now, "llm", -1, false)
		g.scheduler.admission.Record(now, "llm", -1, kwadmission.Rejected)
	}
	g.scheduler.mu.Unlock()
	g.scheduler.applyAdmission(now.Add(time.Hour), []kwadmission.ServiceShares{{
		Service: "llm", Version: 3, Classes: []kwadmission.ClassShare{{Priority: -1, Share: 1, Spare: true}, {Priority: 0}},
	}})
	time.Sleep(kwadmission.DefaultConfig().StepInterval)
	status, body := post(t, http.DefaultClient, g, "/notes/x", "q")
	if status != http.StatusServiceUnavailable || !strings.Contains(body, `"entry-overloaded"`) {
		t.Fatalf("got %d %q, want 503 with the code of an overload", status, body)
	}
	got := make(map[string]any)
	for _, r := range g.deps.Events.Records() {
		for _, f := range r.Fields {
			got[f.Key] = f.Value
		}
	}
	if got["admission"] != "rejected" || got["share"] != "0.00" || got["share-version"] != kwadmission.Version(3) || got["retry-after-ms"].(int64) <= 0 {
		t.Errorf("got fields %v, want the share, its version and a time to come back", got)
	}
	if n := g.deps.Metrics.Get("admission.rejected.priority-0.llm"); n == nil {
		t.Error("got no metric of the rejected request")
	}
}
