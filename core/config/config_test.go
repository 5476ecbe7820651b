package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/status"
)

const (
	oneService = `{"services":{"s":{"classes":{"c":{"priority":1,"share":60},"d":{"priority":2,"share":40}}}}}`
	invalid    = status.InvalidConfig
)

// withFields returns oneService with more fields.
func withFields(fields string) string {
	return strings.TrimSuffix(oneService, "}") + "," + fields + "}"
}

func TestParse(t *testing.T) {
	for _, row := range []struct {
		name string
		text string
		want []Violation // with empty reasons
	}{
		{"valid", oneService, nil},
		{"not JSON", `{`, []Violation{{Code: status.Malformed, Path: "/"}}},
		{"unknown field", withFields(`"colour":1`), []Violation{{Code: invalid, Path: "/"}}},
		{"wrong type in a class", strings.Replace(oneService, "60", `"60"`, 1), []Violation{
			{Code: invalid, Path: "/services/s/classes/c/share"},
		}},
		{"negative duration", withFields(`"limits":{"lease":"-1s"}`), []Violation{{Code: invalid, Path: "/limits/lease"}}},
		{"shares over 100", strings.Replace(oneService, "60", "61", 1), []Violation{{Code: invalid, Path: "/services/s"}}},
		{"start timeout as long as the lease", withFields(`"limits":{"lease":"4s","startBy":"4s"}`), []Violation{
			{Code: invalid, Path: "/limits/startBy"},
		}},
		{"routes", withFields(`"entries":[
			{"name":"a","host":"H","prefix":"/","service":"s","class":"c"},
			{"name":"b","host":"h","prefix":"/","service":"s","class":"x"}]`), []Violation{
			{Code: invalid, Path: "/entries/1"}, {Code: invalid, Path: "/entries/1"},
		}},
		{"policies", withFields(`"policies":{"order":"now()","borrow":"1"}`), []Violation{
			{Code: status.InvalidPolicy, Path: "/policies/order"}, {Code: status.InvalidPolicy, Path: "/policies/borrow"},
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, violations := Parse([]byte(row.text))
			for i := range violations {
				if violations[i].Reason == "" {
					t.Errorf("violation without a reason: %+v", violations[i])
				}
				violations[i].Reason = ""
			}
			if !reflect.DeepEqual(violations, row.want) {
				t.Errorf("got %+v, want %+v", violations, row.want)
			}
		})
	}
}

func TestParseFillsInDefaults(t *testing.T) {
	config, violations := Parse([]byte(withFields(`"limits":{"lease":"8s"}`)))
	if violations != nil {
		t.Fatal(violations)
	}
	want := Default()
	want.Limits.LeaseDuration = Duration{8 * time.Second}
	if config.Limits != want.Limits || config.Policies != want.Policies {
		t.Errorf("got %+v", config)
	}
}

func TestApplyPatch(t *testing.T) {
	base, _ := Parse([]byte(oneService))
	for _, row := range []struct {
		name  string
		patch string
		check func(Config) bool
	}{
		{"replaces", `{"services":{"s":{"classes":{"c":{"share":10}}}}}`, func(c Config) bool {
			return c.Services["s"].Classes["c"] == Class{Priority: 1, Share: 10}
		}},
		{"adds", `{"sites":["x"]}`, func(c Config) bool { return len(c.Zones) == 1 && len(c.Services["s"].Classes) == 2 }},
		{"removes", `{"services":{"s":{"classes":{"d":null}}}}`, func(c Config) bool {
			return len(c.Services["s"].Classes) == 1
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			if patched, violations := ApplyPatch(base, []byte(row.patch)); violations != nil || !row.check(patched) {
				t.Errorf("got %+v, %+v", patched, violations)
			}
		})
	}
	for _, patch := range []string{`[]`, `{`} {
		if _, violations := ApplyPatch(base, []byte(patch)); len(violations) != 1 || violations[0].Code != status.Malformed {
			t.Errorf("%s: got %+v", patch, violations)
		}
	}
}

func TestFindRoutePrefersTheLongestPrefix(t *testing.T) {
	config := Config{Routes: []Route{
		{Name: "root", Host: "h", Prefix: "/"}, {Name: "a", Host: "h", Prefix: "/a"}, {Name: "ab", Host: "h", Prefix: "/a/b"},
	}}
	for _, row := range []struct{ host, path, want string }{
		{"h", "/x", "root"}, {"H", "/a/c", "a"}, {"h", "/a/b", "ab"}, {"other", "/", ""},
	} {
		if route, ok := config.FindRoute(row.host, row.path); route.Name != row.want || ok != (row.want != "") {
			t.Errorf("%s%s: got %+v, %v", row.host, row.path, route, ok)
		}
	}
}

func TestPolicies(t *testing.T) {
	compile := func(order, borrow string) CompiledPolicies {
		return Config{Policies: Policies{Order: order, Borrow: borrow}}.Compile()
	}
	input := OrderInput{Priority: 3, Level: 2}
	for _, row := range []struct {
		order string
		want  float64
	}{
		{"priority", 3}, {"priority + 10 * level", 23}, {"not an expression", 3}, {"0.0 / 0.0", 3},
	} {
		if got := compile(row.order, "true").Order(input); got != row.want {
			t.Errorf("order %q: got %v, want %v", row.order, got, row.want)
		}
	}
	for _, row := range []struct {
		borrow string
		want   bool
	}{
		{"true", true}, {"idle - asked >= total / 8", true}, {"waiting > 0", false}, {"not an expression", false},
	} {
		if got := compile("priority", row.borrow).Borrow(BorrowInput{Total: 8, Idle: 3, Requested: 1}); got != row.want {
			t.Errorf("borrow %q: got %v, want %v", row.borrow, got, row.want)
		}
	}
}
