package machine

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Bodies are CBOR maps whose keys are the json names of the fields. Types that implement
// encoding.TextMarshaler are encoded as text; times keep nanoseconds and time zone. The
// library's limits on the number of elements are raised to the maximum, since one message
// may carry a complete snapshot.
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

// Marshal encodes the body of a message. All bodies pass through Marshal and Unmarshal.
func Marshal(v any) ([]byte, error) { return encodeMode.Marshal(v) }

// Unmarshal decodes the body of a message. Unknown fields are ignored. The value shares
// no memory with the data.
func Unmarshal(data []byte, v any) error { return decodeMode.Unmarshal(data, v) }

// MustMarshal encodes a value whose type is known to be encodable, and panics otherwise.
func MustMarshal(v any) []byte { return must(Marshal(v)) }
