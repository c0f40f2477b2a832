package kwdeclaration

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
)

func validDeclaration() *Declaration {
	return &Declaration{
		Number: 7,
		Routes: []Route{
			{Name: "notes", Host: "a.example", Prefix: "/notes/", Kind: Streaming, Resumable: true, Timeout: time.Second, Targets: []Target{{"llm", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/notes/long/", Kind: Streaming, Timeout: time.Second, Targets: []Target{{"llm", 90}, {"llm-2", 10}}},
			{Name: "alerts", Host: "b.example", Prefix: "/", Kind: AtMostOnce, Timeout: time.Second, Public: true, Targets: []Target{{"records", 1}}},
		},
		Services:   []Service{{Name: "llm"}, {Name: "llm-2"}, {Name: "records"}},
		Workspaces: []Workspace{{Name: "crews", Keys: []string{"k1", "k2"}}, {Name: "desk", Keys: []string{"k3"}}},
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Declaration)
		want   kwcode.Code
	}{
		{"valid", func(*Declaration) {}, 0},
		{"no number", func(d *Declaration) { d.Number = 0 }, kwcode.SettingsMissing},
		{"unknown service", func(d *Declaration) { d.Routes[0].Targets[0].Service = "none" }, kwcode.SettingsReference},
		{"same host and prefix", func(d *Declaration) { d.Routes[1].Prefix = "/notes/" }, kwcode.SettingsDuplicate},
		{"weights of 0", func(d *Declaration) { d.Routes[1].Targets = []Target{{"llm", 0}} }, kwcode.SettingsBadValue},
		{"no target", func(d *Declaration) { d.Routes[1].Targets = nil }, kwcode.SettingsBadValue},
		{"negative weight", func(d *Declaration) { d.Routes[1].Targets = []Target{{"llm", 2}, {"llm-2", -1}} }, kwcode.SettingsBadValue},
		{"no timeout", func(d *Declaration) { d.Routes[0].Timeout = 0 }, kwcode.SettingsBadValue},
		{"prefix without a trailing slash", func(d *Declaration) { d.Routes[0].Prefix = "/notes" }, kwcode.SettingsBadValue},
		{"no kind", func(d *Declaration) { d.Routes[0].Kind = 0 }, kwcode.SettingsBadValue},
		{"no host", func(d *Declaration) { d.Routes[0].Host = "" }, kwcode.SettingsMissing},
		{"shared key", func(d *Declaration) { d.Workspaces[1].Keys = []string{"k1"} }, kwcode.SettingsDuplicate},
		{"share of hedged requests above 1", func(d *Declaration) { share := 1.1; d.Limits.HedgeShare = &share }, kwcode.SettingsBadValue},
		{"negative share of hedged requests", func(d *Declaration) { share := -0.1; d.Limits.HedgeShare = &share }, kwcode.SettingsBadValue},
		{"workspaces whose keys are ignored", func(d *Declaration) { d.KeyCheck = KeyIgnored }, kwcode.SettingsBadValue},
		{"keys required of no workspace", func(d *Declaration) { d.Workspaces = nil }, 0},
		{"keys ignored without workspaces", func(d *Declaration) { d.KeyCheck, d.Workspaces = KeyIgnored, nil }, 0},
		{"service twice", func(d *Declaration) { d.Services[1].Name = "llm" }, kwcode.SettingsDuplicate},
	}
	for _, c := range cases {
		d := validDeclaration()
		c.change(d)
		err := d.Check()
		got := kwcode.Code(0)
		if err != nil {
			got = kwcode.FromError(err).Code
		}
		if got != c.want {
			t.Errorf("%s: got code %d (%v), want %d", c.name, got, err, c.want)
		}
	}
}

func TestIndex(t *testing.T) {
	x := NewIndex(validDeclaration())
	cases := []struct{ host, path, want string }{
		{"a.example", "/notes/1", "notes"},
		{"a.example", "/notes/long/1", "long"},
		{"a.example", "/notes/longer", "notes"},
		{"a.example", "/notes", ""},
		{"b.example", "/x", "alerts"},
		{"c.example", "/notes/1", ""},
	}
	for _, c := range cases {
		got := ""
		if r := x.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestAdmit replays callers with keys that are in force, that are not, and without one.
func TestAdmit(t *testing.T) {
	x := NewIndex(validDeclaration())
	cases := []struct {
		host, path, key, workspace string
		want                       bool
	}{
		{"a.example", "/notes/1", "k2", "crews", true},
		{"a.example", "/notes/1", "k3", "desk", true},
		{"a.example", "/notes/1", "k4", "", false},
		{"a.example", "/notes/1", "", "", false},
		{"b.example", "/x", "k2", "", true},
		{"b.example", "/x", "k4", "", true},
		{"b.example", "/x", "", "", true},
	}
	for _, c := range cases {
		w, got := x.Admit(x.Route(c.host, c.path), c.key)
		if got != c.want {
			t.Errorf("key %q at %s%s: got admitted %v, want %v", c.key, c.host, c.path, got, c.want)
		}
		name := ""
		if w != nil {
			name = string(w.Name)
		}
		if name != c.workspace {
			t.Errorf("key %q at %s%s: got workspace %q, want %q", c.key, c.host, c.path, name, c.workspace)
		}
	}
}

// TestForServiceKeepsKeyCheck guards against a part of a declaration that requires no key because it lacks the workspaces.
func TestForServiceKeepsKeyCheck(t *testing.T) {
	for _, check := range []KeyCheck{KeyRequired, KeyIgnored} {
		d := validDeclaration()
		d.KeyCheck, d.Workspaces = check, nil
		x := NewIndex(d)
		route := x.Route("a.example", "/notes/1")
		if got, want := x.ForService("llm").RequiresKey(route), check == KeyRequired; got != want {
			t.Errorf("keys %v: got a key required %v, want %v", check, got, want)
		}
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := &validDeclaration().Routes[1]
	count := 0
	const draws = 1000
	for i := range draws {
		if r.PickService(float64(i)/draws) == "llm-2" {
			count++
		}
	}
	if count != 100 {
		t.Errorf("picks of the service with weight 10 of 100: got %d of %d, want 100", count, draws)
	}
	r.Targets = []Target{{"llm", 0}, {"llm-2", 1}}
	for i := range draws {
		if got := r.PickService(float64(i) / draws); got != "llm-2" {
			t.Fatalf("got %q, a service with weight 0", got)
		}
	}
}
