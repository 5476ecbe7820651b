package machine

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Bodies are CBOR maps keyed by the json names of their fields. Types with a text
// form, such as plan.Span, are written in it, and times keep nanoseconds and zone.
// A snapshot may hold more records than the library allows by default.
var (
	encodeMode = must(cbor.EncOptions{
		Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString,
	}.EncMode())
	decodeMode = must(cbor.DecOptions{
		TextUnmarshaler: cbor.TextUnmarshalerTextString, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes the body of a line. All processes use it and Unmarshal for
// every body, so that the encoding is chosen in this one place.
func Marshal(v any) ([]byte, error) { return encodeMode.Marshal(v) }

// Unmarshal decodes the body of a line. Unknown fields are passed over. The value
// shares no memory with the data.
func Unmarshal(data []byte, v any) error { return decodeMode.Unmarshal(data, v) }

// MustMarshal encodes a body of our own types, which cannot fail.
func MustMarshal(v any) []byte { return must(Marshal(v)) }
