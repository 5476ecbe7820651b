package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"sorrelloom/core/machine"
)

const (
	// lengthPrefixSize is the size of the length that precedes each frame's encoded message.
	lengthPrefixSize = 4
	// headerOverhead is the encoded size of a message's version and of the lengths of its
	// strings.
	headerOverhead = 4
	// MaxFrameSize is the maximum size of an encoded message.
	MaxFrameSize = 256 << 20
	// maxInitialAllocation bounds the memory that is allocated for a frame before its data
	// arrives, so that a length alone cannot exhaust memory.
	maxInitialAllocation = 1 << 20
)

// ErrFrameTooLarge is returned for a frame larger than MaxFrameSize.
var ErrFrameTooLarge = errors.New("frame too large")

// EncodeFrameHeader returns the part of a message's frame that precedes the body.
func EncodeFrameHeader(message machine.Message) ([]byte, error) {
	namesLength := len(message.Kind) + len(message.From) + len(message.CoalescingKey)
	header := make([]byte, lengthPrefixSize, lengthPrefixSize+namesLength+headerOverhead)
	header, err := message.AppendHeader(header)
	if err != nil {
		return nil, err
	}
	length := len(header) - lengthPrefixSize + len(message.Body)
	if length > MaxFrameSize {
		return nil, fmt.Errorf("encode frame: %w: %d bytes, at most %d", ErrFrameTooLarge, length, MaxFrameSize)
	}
	binary.BigEndian.PutUint32(header, uint32(length))
	return header, nil
}

// WriteFrame writes a message as one frame.
func WriteFrame(w io.Writer, message machine.Message) error {
	header, err := EncodeFrameHeader(message)
	if err != nil {
		return err
	}
	_, err = w.Write(append(header, message.Body...))
	return err
}

// ReadFrame reads the next frame and returns its message. It returns io.EOF if the stream
// ends between two frames. After any other error, the stream is unusable.
func ReadFrame(r io.Reader) (machine.Message, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return machine.Message{}, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrameSize {
		return machine.Message{}, fmt.Errorf("read frame: %w: %d bytes, at most %d", ErrFrameTooLarge, length, MaxFrameSize)
	}
	data, err := readBytes(r, int(length))
	if err != nil {
		return machine.Message{}, fmt.Errorf("read frame of %d bytes: %w", length, err)
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

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, since a stream must not end within a
// frame.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
