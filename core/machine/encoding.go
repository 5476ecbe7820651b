package machine

import "encoding/json"

// Marshal encodes the body of a line. All processes use it and Unmarshal for
// every body, so that the encoding is chosen in this one place.
func Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes the body of a line. Unknown fields are passed over.
func Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// MustMarshal encodes a body of our own types, which cannot fail.
func MustMarshal(v any) []byte {
	data, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
