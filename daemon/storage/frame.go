// Frames, which files are made of.

package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is what a file is made of: a magic number, the length of the payload, a
// checksum of all that follows it, a kind, and the payload.
const (
	frameHeaderSize = 13
	// frameMagic has bytes that no JSON text has, so that a payload never looks
	// like the start of a frame.
	frameMagic = "\x1fSL\x01"
)

type frameKind byte

const (
	// kindHead begins a file and says its number.
	frameHeader frameKind = 'h'
	// kindItems holds records and commands.
	frameItems frameKind = 'i'
	// kindFoot ends a snapshot and says how many items it has.
	frameFooter frameKind = 'f'
)

type frame struct {
	kind    frameKind
	payload []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(out []byte, f frame) []byte {
	start := len(out)
	out = append(out, frameMagic...)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(f.payload)))
	out = append(out, 0, 0, 0, 0, byte(f.kind))
	out = append(out, f.payload...)
	binary.LittleEndian.PutUint32(out[start+8:], checksum(out[start:]))
	return out
}

// checksum covers the length, the kind and the payload of a whole frame.
func checksum(whole []byte) uint32 {
	sum := crc32.Update(0, castagnoli, whole[4:8])
	return crc32.Update(sum, castagnoli, whole[12:])
}

// readFrame gives the frame at the start of the data and its length, if it is whole.
func readFrame(data []byte) (f frame, length int, ok bool) {
	if len(data) < frameHeaderSize || string(data[:4]) != frameMagic {
		return frame{}, 0, false
	}
	payload := int64(binary.LittleEndian.Uint32(data[4:]))
	if payload > int64(len(data)-frameHeaderSize) {
		return frame{}, 0, false
	}
	whole := data[:frameHeaderSize+int(payload)]
	if binary.LittleEndian.Uint32(data[8:]) != checksum(whole) {
		return frame{}, 0, false
	}
	return frame{frameKind(data[12]), whole[frameHeaderSize:]}, len(whole), true
}

// readFrames gives all frames up to the first place that is none, and where that is.
func readFrames(data []byte) (frames []frame, good int) {
	for {
		f, length, ok := readFrame(data[good:])
		if !ok {
			return frames, good
		}
		frames = append(frames, f)
		good += length
	}
}

// holdsFrame says whether a whole frame begins anywhere in the data.
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
