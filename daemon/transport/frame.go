package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"sorrelloom/core/machine"
)

// A frame is the length of a line in four bytes, and the line.
const (
	lengthPrefixSize = 4
	// lineOverhead is the version of a line and the lengths of its three names.
	headerOverhead = 4
	// FrameMax bounds what a length may say, before anything is allocated for it.
	MaxFrameSize = 256 << 20
	// allocateAtOnce is how much is allocated on the word of a length alone; more is
	// allocated as it comes.
	maxInitialAllocation = 1 << 20
)

// FrameHeader is all of a line's frame that stands before the body.
func EncodeFrameHeader(message machine.Message) ([]byte, error) {
	header := make([]byte, lengthPrefixSize, lengthPrefixSize+len(message.Kind)+len(message.From)+len(message.CoalescingKey)+headerOverhead)
	header, err := message.AppendHeader(header)
	if err != nil {
		return nil, err
	}
	length := len(header) - lengthPrefixSize + len(message.Body)
	if length > MaxFrameSize {
		return nil, fmt.Errorf("a frame of %d bytes, above %d", length, MaxFrameSize)
	}
	binary.BigEndian.PutUint32(header, uint32(length))
	return header, nil
}

// WriteFrame writes a line as one frame.
func WriteFrame(w io.Writer, message machine.Message) error {
	header, err := EncodeFrameHeader(message)
	if err != nil {
		return err
	}
	_, err = w.Write(append(header, message.Body...))
	return err
}

// ReadFrame cuts the next frame and gives its line. An error that is not io.EOF
// says that the stream is damaged or broke off, and that nothing more of it counts.
func ReadFrame(r io.Reader) (machine.Message, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return machine.Message{}, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrameSize {
		return machine.Message{}, fmt.Errorf("a frame of %d bytes, above %d", length, MaxFrameSize)
	}
	data, err := readBytes(r, int(length))
	if err != nil {
		return machine.Message{}, err
	}
	return machine.DecodeMessage(data)
}

func readBytes(r io.Reader, length int) ([]byte, error) {
	if length <= maxInitialAllocation {
		data := make([]byte, length)
		_, err := io.ReadFull(r, data)
		return data, unexpectedEOF(err)
	}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, r, int64(length))
	return buffer.Bytes(), unexpectedEOF(err)
}

// unexpected turns the end of the stream within a frame into an error of its own.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
