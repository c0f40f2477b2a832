package kwsettings

import (
	"path/filepath"
	"strings"
	"testing"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwkeys"
)

func TestExamples(t *testing.T) {
	for _, role := range kwkeys.Roles() {
		path := filepath.Join("..", "..", "examples", "process", string(role)+".toml")
		p, err := Load(path, role)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(p.TLS.Key, filepath.Join("..", "..", "examples", "process", "keys")) {
			t.Errorf("got key %q, want a path in the folder of the settings file", p.TLS.Key)
		}
	}
}

// validSettings is a minimal settings file of an entry.
const validSettings = `format = "knapweedproxy-process-1"
role = "entry"
node = "e"
site = "s"
listen = "127.0.0.1:1"
[tls]
authority = "a"
certificate = "c"
key = "k"
[entry]
http-listen = "127.0.0.1:2"
control = ["127.0.0.1:3"]
`

// TestInvalidSettings breaks one thing at a time in valid settings; the error must name the code, the line and the key.
func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		old, replacement string
		code             kwcode.Code
		location         string
	}{
		{`role = "entry"`, `role = "king"`, kwcode.SettingsBadValue, `f:2: key "role"`},
		{`node = "e"`, `node = "e@1"`, kwcode.SettingsBadValue, `f:3: key "node"`},
		{`listen = "127.0.0.1:1"`, `listen = "localhost:1"`, kwcode.SettingsBadValue, `f:5: key "listen"`},
		{`listen = "127.0.0.1:1"`, `listen = "127.0.0.1:99999"`, kwcode.SettingsBadValue, `f:5: key "listen"`},
		{`key = "k"`, ``, kwcode.SettingsMissing, `f:6: key "tls.key"`},
		{`control = ["127.0.0.1:3"]`, `control = []`, kwcode.SettingsMissing, `f:12: key "entry.control"`},
		{`control = ["127.0.0.1:3"]`, "control = [\"127.0.0.1:3\"]\nview-lease = \"11s\"", kwcode.SettingsBadValue, `f:13: key "entry.view-lease"`},
		{`site = "s"`, `sight = "s"`, kwcode.SettingsUnknownKey, `f:4: key "sight"`},
	}
	for _, tt := range tests {
		text := strings.Replace(validSettings, tt.old, tt.replacement, 1)
		_, err := Parse(kwsiteconfig.File{Name: "f", Text: text}, kwkeys.RoleEntry)
		if !kwcode.Is(err, tt.code) || !strings.Contains(err.Error(), tt.location) {
			t.Errorf("%s: got %v, want %d at %s", tt.replacement, err, tt.code, tt.location)
		}
	}
	if _, err := Parse(kwsiteconfig.File{Name: "f", Text: validSettings}, kwkeys.RoleAgent); !kwcode.Is(err, kwcode.SettingsBadValue) {
		t.Errorf("got %v, want %d for another role", err, kwcode.SettingsBadValue)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Parse(kwsiteconfig.File{Name: "f", Text: text}, ""); err != nil && kwcode.FromError(err).Code/1000 != 4 {
			t.Errorf("got %v, want a settings error", err)
		}
	})
}
