package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// File compares data with a golden file and returns the file's content. With the flag
// -update it writes the data to the file first.
func File(t testing.TB, path string, got []byte) []byte {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding is\n%s\nrecorded was\n%s", path, got, want)
	}
	return want
}

// JSON checks a type that is encoded as JSON against its golden file: a filled value must
// be encoded as recorded, and the recording must decode as that value.
func JSON(t testing.TB, path string, example any) {
	t.Helper()
	want := Filled(t, example)
	recorded := File(t, path, Indented(t, want))
	var compact bytes.Buffer
	if err := json.Compact(&compact, recorded); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	got := reflect.New(reflect.TypeOf(example))
	if err := json.Unmarshal(compact.Bytes(), got.Interface()); err != nil {
		t.Errorf("%s: %v", path, err)
	}
	if !reflect.DeepEqual(got.Elem().Interface(), want) {
		t.Errorf("%s decodes as\n%+v\nwant\n%+v", path, got.Elem().Interface(), want)
	}
}

// Indented encodes a value as indented JSON with a line break at the end.
func Indented(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// CheckNoExtraFiles fails the test for every golden file in a folder that is not among the names.
func CheckNoExtraFiles(t testing.TB, folder string, names map[string]bool) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !names[entry.Name()] {
			t.Errorf("%s in %s is not an expected golden file", entry.Name(), folder)
		}
	}
}
