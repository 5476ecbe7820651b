// Package goldentest compares encodings with golden files. It fills every encoded field
// of a value with a value that no other field has. The flag -update of a test rewrites
// its golden files.
package goldentest

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/config"
)

// maxDepth is the maximum depth to which values may be nested.
const maxDepth = 12

// addedFields has the encoded names of the fields that were added after the golden files
// were recorded, with what each is a field of. Filled values leave these fields empty, as
// the recordings do. Each must be omitted when it is empty, so that an earlier release is
// sent only what it knows.
var addedFields = map[string]string{
	"servingSince":       "a tick",
	"unconfirmed":        "a heartbeat, also in a command, but in no record",
	"callNumber":         "a heartbeat",
	"clockMs":            "a heartbeat of the platform",
	"awaitingGang":       "a heartbeat request to the primary, but in no command or record",
	"lastReply":          "a heartbeat request to the primary, but in no command or record",
	"grantedOn":          "a start order",
	"startedGangs":       "a reply to a heartbeat",
	"gangWait":           "a start order",
	"tenant":             "a job, also one that has ended",
	"keyDigest":          "a command",
	"requiresKey":        "a class",
	"tenants":            "a configuration, also the platform's",
	"public":             "a route of the platform",
	"strayByTenant":      "a worker",
	"recountDifferences": "a replica's status report",
	"urgent":             "a command request to the primary",
	"question":           "a command request to the primary",
	"replicasEpoch":      "a heartbeat request to the primary, and replies to heartbeats and commands",
	"formerLimits":       "the metadata of the state",
	"formerClasses":      "the metadata of the state",
}

// filler fills fields with values that depend only on the path of encoded names, so that
// renaming a field in Go or reordering the fields does not change them.
type filler struct {
	t testing.TB
	// paths has the path for which each number was used, so that no two paths share one.
	paths map[uint32]string
}

// Fill sets every encoded field of the value at pointer, also nested ones, to a distinct
// value other than zero, and bools to true. Slices get two elements and maps one.
func Fill(t testing.TB, pointer any) {
	t.Helper()
	filler{t, map[uint32]string{}}.fill(reflect.ValueOf(pointer).Elem(), "", 0)
}

// Filled returns a value of the example's type, filled as by Fill.
func Filled(t testing.TB, example any) any {
	t.Helper()
	value := reflect.New(reflect.TypeOf(example))
	Fill(t, value.Interface())
	return value.Elem().Interface()
}

// number returns the number for a path, which is at least 1<<16 and below 1<<31. It fails
// the test if the number was used before.
func (f filler) number(path string) uint32 {
	f.t.Helper()
	sum := fnv.New32a()
	sum.Write([]byte(path))
	number := sum.Sum32()>>1 | 1<<16
	if other, taken := f.paths[number]; taken {
		f.t.Fatalf("the fields %q and %q would get the same value", path, other)
	}
	f.paths[number] = path
	return number
}

func (f filler) fill(v reflect.Value, path string, depth int) {
	f.t.Helper()
	if depth > maxDepth {
		f.t.Fatalf("%s is nested more than %d levels deep", path, maxDepth)
	}
	if f.fillSpecial(v, path) || f.fillScalar(v, path) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i), fmt.Sprintf("%s/%d", path, i), depth+1)
		}
	case reflect.Map:
		f.fillMap(v, path, depth)
	case reflect.Struct:
		f.fillStruct(v, path, depth)
	default:
		f.t.Fatalf("%s is of type %s, which the test cannot fill", path, v.Type())
	}
}

// fillSpecial fills the types that have an encoding of their own.
func (f filler) fillSpecial(v reflect.Value, path string) bool {
	f.t.Helper()
	switch value := v.Addr().Interface().(type) {
	case *time.Time:
		*value = time.Unix(int64(f.number(path)), 7).UTC()
	case *json.RawMessage:
		*value = fmt.Appendf(nil, `{"number":%d}`, f.number(path))
	case *config.Duration:
		value.Duration = time.Duration(f.number(path)) * time.Millisecond
	default:
		return false
	}
	return true
}

func (f filler) fillScalar(v reflect.Value, path string) bool {
	f.t.Helper()
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.number(path)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		v.SetInt(int64(f.number(path)))
	case reflect.Int64:
		v.SetInt(int64(f.number(path)) << 16)
	case reflect.Uint64:
		v.SetUint(uint64(f.number(path)) << 32)
	case reflect.Float64:
		v.SetFloat(float64(f.number(path)) + 0.5)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("text %d", f.number(path))))
	default:
		return false
	}
	return true
}

// fillMap adds a single entry, since several would be encoded in no fixed order.
func (f filler) fillMap(v reflect.Value, path string, depth int) {
	f.t.Helper()
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key, path+"/key", depth+1)
	f.fill(value, path+"/value", depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f filler) fillStruct(v reflect.Value, path string, depth int) {
	f.t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		switch name, encoded := encodedName(field); {
		case !encoded:
		case addedFields[name] != "":
			if !strings.Contains(field.Tag.Get("json"), ",omitempty") {
				f.t.Fatalf("%s/%s, a field of %s, is not omitted when empty", path, name, addedFields[name])
			}
		case name == "":
			f.fill(v.Field(i), path, depth)
		default:
			f.fill(v.Field(i), path+"/"+name, depth+1)
		}
	}
}

// encodedName returns the name of a field in the encoding, and whether the field is encoded
// at all. The name is empty for an embedded struct, whose fields are encoded in its place.
func encodedName(field reflect.StructField) (name string, encoded bool) {
	tag := field.Tag.Get("json")
	name, _, _ = strings.Cut(tag, ",")
	switch {
	case tag == "-" || !field.IsExported() && !field.Anonymous:
		return "", false
	case name == "" && !field.Anonymous:
		name = field.Name
	}
	return name, true
}
