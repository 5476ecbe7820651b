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
	lengthBytes = 4
	// lineOverhead is the version of a line and the lengths of its three names.
	lineOverhead = 4
	// FrameMax bounds what a length may say, before anything is allocated for it.
	FrameMax = 256 << 20
	// allocateAtOnce is how much is allocated on the word of a length alone; more is
	// allocated as it comes.
	allocateAtOnce = 1 << 20
)

// FrameHeader is all of a line's frame that stands before the body.
func FrameHeader(line machine.Line) ([]byte, error) {
	header := make([]byte, lengthBytes, lengthBytes+len(line.Kind)+len(line.From)+len(line.Key)+lineOverhead)
	header, err := line.AppendHeader(header)
	if err != nil {
		return nil, err
	}
	length := len(header) - lengthBytes + len(line.Body)
	if length > FrameMax {
		return nil, fmt.Errorf("a frame of %d bytes, above %d", length, FrameMax)
	}
	binary.BigEndian.PutUint32(header, uint32(length))
	return header, nil
}

// WriteFrame writes a line as one frame.
func WriteFrame(w io.Writer, line machine.Line) error {
	header, err := FrameHeader(line)
	if err != nil {
		return err
	}
	_, err = w.Write(append(header, line.Body...))
	return err
}

// ReadFrame cuts the next frame and gives its line. An error that is not io.EOF
// says that the stream is damaged or broke off, and that nothing more of it counts.
func ReadFrame(r io.Reader) (machine.Line, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return machine.Line{}, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > FrameMax {
		return machine.Line{}, fmt.Errorf("a frame of %d bytes, above %d", length, FrameMax)
	}
	data, err := readBytes(r, int(length))
	if err != nil {
		return machine.Line{}, err
	}
	return machine.Decode(data)
}

func readBytes(r io.Reader, length int) ([]byte, error) {
	if length <= allocateAtOnce {
		data := make([]byte, length)
		_, err := io.ReadFull(r, data)
		return data, unexpected(err)
	}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, r, int64(length))
	return buffer.Bytes(), unexpected(err)
}

// unexpected turns the end of the stream within a frame into an error of its own.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
