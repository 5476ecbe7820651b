package config

import (
	"reflect"
	"testing"
)

func TestDigestOfAuthorization(t *testing.T) {
	for header, want := range map[string]string{
		"Bearer abc": DigestKey("abc"), "bearer  abc ": DigestKey("abc"),
		"": "", "abc": "", "Basic abc": "",
	} {
		if got := DigestOfAuthorization(header); got != want {
			t.Errorf("%q: %q", header, got)
		}
	}
}

func TestTenants(t *testing.T) {
	const digest = "0000000000000000000000000000000000000000000000000000000000000001"
	const key = `"` + digest + `"`
	for _, row := range []struct {
		name, tenants string
		want          []string // the places of the violations
	}{
		{"valid", `{"a":{"keys":[` + key + `],"limit":{"slots":3,"memoryMB":10}},"b":{}}`, nil},
		{"a key twice", `{"a":{"keys":[` + key + `,` + key + `]}}`, nil},
		{
			"two tenants with one key", `{"a":{"keys":[` + key + `]},"b":{"keys":[` + key + `]}}`,
			[]string{"/tenants/b/keys/0"},
		},
		{"a key in clear", `{"a":{"keys":["secret"]}}`, []string{"/tenants/a/keys/0"}},
		{"a negative limit", `{"a":{"limit":{"slots":-1}}}`, []string{"/tenants/a/limit/slots"}},
		{"an unknown field", `{"a":{"colour":1}}`, []string{"/tenants/a"}},
	} {
		parsed, violations := Parse([]byte(withFields(`"tenants":` + row.tenants)))
		var places []string
		for _, violation := range violations {
			places = append(places, violation.Path)
		}
		if !reflect.DeepEqual(places, row.want) {
			t.Errorf("%s: %+v", row.name, violations)
		}
		if row.name == "valid" && parsed.TenantsByKey()[digest] != "a" {
			t.Errorf("keys: %v", parsed.TenantsByKey())
		}
	}
}
