package web

import (
	"os"
	"regexp"
	"slices"
	"testing"
)

// TestEveryRouteIsDocumented checks that the table in docs/api.md lists exactly the routes
// that are served.
func TestEveryRouteIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented, served []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Z]+ /v1[^`]*)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	for _, r := range Routes {
		served = append(served, r.Method+" "+r.Path)
	}
	slices.Sort(documented)
	slices.Sort(served)
	if len(served) == 0 || !slices.Equal(documented, served) {
		t.Errorf("documented %v\nserved %v", documented, served)
	}
}
