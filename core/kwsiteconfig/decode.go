package kwsiteconfig

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"knapweedproxy/core/kwcode"
)

// File is the name and content of one settings file.
type File struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// Source holds all files of a fleet declaration.
type Source struct {
	Base     File   `cbor:"1,keyasint"`
	Overlays []File `cbor:"2,keyasint"`
}

// Load decodes, merges and checks a fleet declaration; an error names the file, the line and the key.
func Load(src Source) (*Fleet, error) {
	var base Base
	if err := Decode(src.Base, &base); err != nil {
		return nil, err
	}
	if err := checkBase(src.Base, &base); err != nil {
		return nil, err
	}
	fleet := &Fleet{Name: base.Name, Models: base.Models, Services: base.Services}
	for _, file := range src.Overlays {
		site, err := loadOverlay(file, &base)
		if err != nil {
			return nil, err
		}
		if _, exists := fleet.Site(site.Site); exists {
			return nil, settingsError(file, kwcode.SettingsDuplicate, "site", "site %q has two overlays", site.Site)
		}
		fleet.Sites = append(fleet.Sites, site)
	}
	if len(fleet.Sites) == 0 {
		return nil, settingsError(src.Base, kwcode.SettingsMissing, "", "a fleet needs at least one overlay")
	}
	return fleet, nil
}

func loadOverlay(file File, base *Base) (SiteFleet, error) {
	var overlay Overlay
	if err := Decode(file, &overlay); err != nil {
		return SiteFleet{}, err
	}
	if err := checkOverlay(file, base, &overlay); err != nil {
		return SiteFleet{}, err
	}
	return merge(base, &overlay), nil
}

func merge(base *Base, overlay *Overlay) SiteFleet {
	site := SiteFleet{
		Site:              overlay.Site,
		AvailabilityZones: overlay.AvailabilityZones,
		Links:             overlay.Links,
		Pools:             overlay.Pools,
		ServicePools:      overlay.ServicePools,
		Workspaces:        append([]Workspace(nil), base.Workspaces...),
	}
	for _, o := range overlay.Workspaces {
		for i := range site.Workspaces {
			if site.Workspaces[i].Name == o.Name {
				applyOverride(&site.Workspaces[i], o)
			}
		}
	}
	return site
}

func applyOverride(w *Workspace, o WorkspaceOverride) {
	if o.Weight != 0 {
		w.Weight = o.Weight
	}
	if o.MaxRequestsInFlight != 0 {
		w.MaxRequestsInFlight = o.MaxRequestsInFlight
	}
}

// Decode parses one TOML file into out, a pointer to a struct; keys that the struct lacks are errors.
func Decode(file File, out any) error {
	dec := toml.NewDecoder(bytes.NewReader([]byte(file.Text)))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		return nil
	}
	return decodeError(file, err)
}

// decodeError adds the file, the line and the key to an error of the TOML decoder.
func decodeError(file File, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		key := strings.Join(strict.Errors[0].Key(), ".")
		return kwcode.New(kwcode.SettingsUnknownKey, "%s:%d: key %q is not known", file.Name, line, key)
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		key := strings.Join(syntax.Key(), ".")
		if key == "" {
			key = keyOnLine(file, line)
		}
		code := kwcode.SettingsSyntax
		if key != "" {
			code = kwcode.SettingsBadValue
		}
		return kwcode.New(code, "%s:%d: key %q: %s", file.Name, line, key, syntax.Error())
	}
	var duration *durationError
	if errors.As(err, &duration) {
		line, key := findValue(file.Text, duration.text)
		return kwcode.New(kwcode.SettingsBadValue, "%s:%d: key %q: %v", file.Name, line, key, err)
	}
	return kwcode.New(kwcode.SettingsSyntax, "%s:1: %v", file.Name, err)
}

// findValue returns the line number and the key of a value that is written without quotes.
func findValue(text, value string) (line int, key string) {
	pattern := regexp.MustCompile(`([A-Za-z0-9_-]+)\s*=\s*` + regexp.QuoteMeta(value) + `\b`)
	for i, s := range strings.Split(text, "\n") {
		if m := pattern.FindStringSubmatch(s); m != nil {
			return i + 1, m[1]
		}
	}
	return 1, ""
}

var keyPattern = regexp.MustCompile(`^\s*([A-Za-z0-9_-]+)\s*=\s*\S`)

// keyOnLine returns the key that a line sets, or "".
func keyOnLine(file File, line int) string {
	lines := strings.Split(file.Text, "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	m := keyPattern.FindStringSubmatch(lines[line-1])
	if m == nil {
		return ""
	}
	return m[1]
}

// settingsError returns an error for a key, which has one of the forms that LineOf accepts.
func settingsError(file File, code kwcode.Code, key, format string, args ...any) error {
	detail := fmt.Sprintf(format, args...)
	return kwcode.New(code, "%s:%d: key %q: %s", file.Name, LineOf(file.Text, key), key, detail)
}

// indexedKey matches "tables[index]" and "tables[index].key".
var indexedKey = regexp.MustCompile(`^([a-z0-9-]+)\[(\d+)\](?:\.(.+))?$`)

// LineOf returns the line number of a key written as "key", "table.key", "tables[index]" or "tables[index].key". For an
// absent key it returns the line of its table, or 1.
func LineOf(text, key string) int {
	lines := strings.Split(text, "\n")
	m := indexedKey.FindStringSubmatch(key)
	if table, name, ok := strings.Cut(key, "."); m == nil && ok {
		start := findLine(lines, "["+table+"]")
		return max(1, start, findKey(lines, start, name))
	}
	if m == nil {
		return max(1, findKey(lines, 0, key))
	}
	var index int
	_, _ = fmt.Sscanf(m[2], "%d", &index)
	start := findArrayTable(lines, m[1], index)
	if line := findKey(lines, start, m[3]); line > 0 {
		return line
	}
	return max(1, start)
}

// findLine returns the number of the line that consists of text, or 0.
func findLine(lines []string, text string) int {
	for i, line := range lines {
		if strings.TrimSpace(line) == text {
			return i + 1
		}
	}
	return 0
}

// findArrayTable returns the line number of the table with an index in an array of tables, or 0.
func findArrayTable(lines []string, table string, index int) int {
	seen := 0
	for i, line := range lines {
		if strings.HasPrefix(strings.TrimSpace(line), "[["+table+"]]") {
			if seen == index {
				return i + 1
			}
			seen++
		}
	}
	return 0
}

// findKey returns the line number of a key in the table whose header is line start, or 0.
func findKey(lines []string, start int, key string) int {
	if key == "" {
		return 0
	}
	for i := start; i < len(lines); i++ {
		m := keyPattern.FindStringSubmatch(lines[i])
		if m != nil && m[1] == key {
			return i + 1
		}
		if strings.HasPrefix(strings.TrimSpace(lines[i]), "[") {
			return 0
		}
	}
	return 0
}
