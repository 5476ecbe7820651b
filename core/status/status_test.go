package status

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestDocumentedTableMatches checks that docs/codes.md has the same table as this package.
func TestDocumentedTableMatches(t *testing.T) {
	page, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, e := range Table() {
		rows = append(rows, fmt.Sprintf("| %d | %s | %d | %s |", int(e.Code), e.Name, e.HTTPStatus, e.Meaning))
	}
	_, got, _ := strings.Cut(string(page), "| --- | --- | --- | --- |\n")
	if want := strings.Join(rows, "\n") + "\n"; got != want {
		t.Errorf("docs/codes.md differs from the codes; it should end with\n%s", want)
	}
}
