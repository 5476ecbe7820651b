package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// All files consist of frames. A frame is a magic number, the length of the payload in
// four bytes, a checksum of all that follows the magic number in four bytes, the kind in
// one byte, and the payload.
const (
	// frameMagic contains bytes that JSON text never does, so that no payload looks like
	// the start of a frame.
	frameMagic = "\x1fSL\x01"

	lengthOffset    = len(frameMagic)
	checksumOffset  = lengthOffset + 4
	kindOffset      = checksumOffset + 4
	frameHeaderSize = kindOffset + 1
)

// frameKind says what a frame holds.
type frameKind byte

const (
	// kindHeader begins each file and holds its number.
	kindHeader frameKind = 'h'
	// kindItems holds records or commands.
	kindItems frameKind = 'i'
	// kindFooter ends a snapshot and holds the number of its items.
	kindFooter frameKind = 'f'
)

type frame struct {
	kind    frameKind
	payload []byte
}

// headerFrame returns the encoded first frame of the file with a number.
func headerFrame(number uint64) []byte {
	return appendFrame(nil, frame{kindHeader, binary.AppendUvarint(nil, number)})
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(out []byte, f frame) []byte {
	start := len(out)
	out = append(out, frameMagic...)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(f.payload)))
	out = append(out, 0, 0, 0, 0, byte(f.kind))
	out = append(out, f.payload...)
	binary.LittleEndian.PutUint32(out[start+checksumOffset:], checksum(out[start:]))
	return out
}

// checksum covers the length, the kind and the payload of an encoded frame.
func checksum(encoded []byte) uint32 {
	sum := crc32.Update(0, castagnoli, encoded[lengthOffset:checksumOffset])
	return crc32.Update(sum, castagnoli, encoded[kindOffset:])
}

// readFrame returns the frame at the start of the data and its encoded length, if it is
// whole. The payload shares memory with the data.
func readFrame(data []byte) (f frame, length int, ok bool) {
	if len(data) < frameHeaderSize || string(data[:lengthOffset]) != frameMagic {
		return frame{}, 0, false
	}
	payloadLength := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if payloadLength > int64(len(data)-frameHeaderSize) {
		return frame{}, 0, false
	}
	encoded := data[:frameHeaderSize+int(payloadLength)]
	if binary.LittleEndian.Uint32(data[checksumOffset:]) != checksum(encoded) {
		return frame{}, 0, false
	}
	return frame{frameKind(data[kindOffset]), encoded[frameHeaderSize:]}, len(encoded), true
}

// readFrames returns all whole frames up to the first position where none begins, and
// that position.
func readFrames(data []byte) (frames []frame, end int) {
	for {
		f, length, ok := readFrame(data[end:])
		if !ok {
			return frames, end
		}
		frames = append(frames, f)
		end += length
	}
}

// containsFrame reports whether a whole frame begins anywhere in the data.
func containsFrame(data []byte) bool {
	for offset := 0; ; offset++ {
		next := bytes.Index(data[offset:], []byte(frameMagic))
		if next < 0 {
			return false
		}
		offset += next
		if _, _, ok := readFrame(data[offset:]); ok {
			return true
		}
	}
}
