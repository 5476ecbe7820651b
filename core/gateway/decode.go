package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// errMoreThanOneValue is returned for a body with more than one JSON value.
var errMoreThanOneValue = errors.New("more than one value")

// decodeError is an error at a position in a body, given as an offset or as a field path.
type decodeError struct {
	position string
	err      error
}

func (e *decodeError) Error() string { return e.position + ": " + e.err.Error() }

func (e *decodeError) Unwrap() error { return e.err }

func errorAtOffset(offset int64, err error) error {
	return &decodeError{position: fmt.Sprintf("offset %d", offset), err: err}
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			return errorAtOffset(decoder.InputOffset(), errMoreThanOneValue)
		}
		return nil
	}
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		return errorAtOffset(syntaxError.Offset, err)
	case errors.As(err, &typeError):
		return &decodeError{position: "/" + strings.ReplaceAll(typeError.Field, ".", "/"), err: err}
	}
	return errorAtOffset(decoder.InputOffset(), err)
}
