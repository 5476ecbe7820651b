package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"runtime"
	"testing"

	"sorrelloom/core/machine"
)

func frameOf(t *testing.T, l machine.Message) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := WriteFrame(&out, l); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestFrameRoundTrip(t *testing.T) {
	large := string(make([]byte, 3*maxInitialAllocation))
	messages := []machine.Message{
		newMessage("a", "f", "k", "body"), newMessage("b", "f", "", ""), newMessage("c", "f", "", large),
	}
	var stream bytes.Buffer
	for _, l := range messages {
		stream.Write(frameOf(t, l))
	}
	for _, want := range messages {
		if got, err := ReadFrame(&stream); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("kind %s: got kind %s with %d bytes, %v", want.Kind, got.Kind, len(got.Body), err)
		}
	}
	if _, err := ReadFrame(&stream); err != io.EOF {
		t.Errorf("got %v at the end of the stream", err)
	}
}

func TestTruncatedFrameIsAnError(t *testing.T) {
	whole := frameOf(t, newMessage("kind", "from", "key", "body"))
	for length := 1; length < len(whole); length++ {
		if got, err := ReadFrame(bytes.NewReader(whole[:length])); err == nil || err == io.EOF {
			t.Errorf("a frame cut to %d bytes was read as %+v, %v", length, got, err)
		}
	}
}

// TestLengthWithoutDataAllocatesLittle reads frames whose length exceeds the data in the stream.
func TestLengthWithoutDataAllocatesLittle(t *testing.T) {
	for _, length := range []uint32{MaxFrameSize, MaxFrameSize + 1, 1<<32 - 1} {
		stream := binary.BigEndian.AppendUint32(nil, length)
		stream = append(stream, "some bytes"...)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := ReadFrame(bytes.NewReader(stream))
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; err == nil || allocated > 2*maxInitialAllocation {
			t.Errorf("length %d: %v after %d bytes were allocated", length, err, allocated)
		}
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	message := machine.Message{Version: 1, Kind: "a", From: "b", Body: make([]byte, MaxFrameSize)}
	if _, err := EncodeFrameHeader(message); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("got %v, want ErrFrameTooLarge", err)
	}
}
