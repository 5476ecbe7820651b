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
			t.Errorf("header %q: got %q, want %q", header, got, want)
		}
	}
}

func TestTenants(t *testing.T) {
	const digest = "0000000000000000000000000000000000000000000000000000000000000001"
	const key = `"` + digest + `"`
	for _, row := range []struct {
		name, tenants string
		want          []string // paths of the violations
	}{
		{"valid", `{"a":{"keys":[` + key + `],"limit":{"slots":3,"memoryMB":10}},"b":{}}`, nil},
		{"repeated key", `{"a":{"keys":[` + key + `,` + key + `]}}`, nil},
		{
			"key of two tenants", `{"a":{"keys":[` + key + `]},"b":{"keys":[` + key + `]}}`,
			[]string{"/tenants/b/keys/0"},
		},
		{"key not hashed", `{"a":{"keys":["secret"]}}`, []string{"/tenants/a/keys/0"}},
		{"negative limit", `{"a":{"limit":{"slots":-1}}}`, []string{"/tenants/a/limit/slots"}},
		{"unknown field", `{"a":{"colour":1}}`, []string{"/tenants/a"}},
	} {
		parsed, violations := Parse([]byte(withFields(`"tenants":` + row.tenants)))
		var paths []string
		for _, violation := range violations {
			paths = append(paths, violation.Path)
		}
		if !reflect.DeepEqual(paths, row.want) {
			t.Errorf("%s: got %+v, want violations at %v", row.name, violations, row.want)
		}
		if row.name == "valid" && parsed.TenantsByKey()[digest] != "a" {
			t.Errorf("TenantsByKey returns %v", parsed.TenantsByKey())
		}
	}
}
