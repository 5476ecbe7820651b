package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Every file is a sequence of frames. A frame consists of a magic number, the length of the
// payload in four bytes, a checksum in four bytes, the kind in one byte, and the payload.
//
// The checksum covers the length, the kind and the payload. The checksum of a positioned
// frame also depends on the salt of its segment and on the frame's offset in the file. A
// payload may contain arbitrary bytes from a client, including a complete plain frame. It
// cannot contain a valid positioned frame, since the client knows neither the salt nor the
// offset. Segments created by earlier releases have no salt.
const (
	plainMagic      = "\x1fSL\x01"
	positionedMagic = "\x1fSL\x02"

	// magicPrefix is the common prefix of both magic numbers.
	magicPrefix = "\x1fSL"

	lengthOffset    = len(plainMagic)
	checksumOffset  = lengthOffset + 4
	kindOffset      = checksumOffset + 4
	frameHeaderSize = kindOffset + 1

	// saltSize is the encoded size of a salt. maxSegmentHeaderSize is the maximum size of a
	// segment's header frame.
	saltSize             = 8
	maxSegmentHeaderSize = frameHeaderSize + binary.MaxVarintLen64 + saltSize
)

// frameKind is the type of a frame.
type frameKind byte

const (
	// kindHeader is the first frame of each file. It contains the number of the file and, in
	// a segment, the salt.
	kindHeader frameKind = 'h'
	// kindItems contains records or commands.
	kindItems frameKind = 'i'
	// kindFooter is the last frame of a snapshot and contains the number of its items.
	kindFooter frameKind = 'f'
)

type frame struct {
	kind    frameKind
	payload []byte
}

// segmentSalt is a random number that enters the checksums of a segment's frames, so that
// clients cannot compute them. It is 0 in a segment created by an earlier release.
type segmentSalt uint64

// segmentHeader returns the encoded header frame of a segment.
func segmentHeader(number uint64, salt segmentSalt) []byte {
	payload := binary.AppendUvarint(nil, number)
	payload = binary.LittleEndian.AppendUint64(payload, uint64(salt))
	return appendFrame(nil, frame{kindHeader, payload})
}

// saltOf returns the salt in the header of a segment, or 0 if it has none.
func saltOf(header frame) segmentSalt {
	_, n := binary.Uvarint(header.payload)
	if header.kind != kindHeader || n <= 0 || len(header.payload) != n+saltSize {
		return 0
	}
	return segmentSalt(binary.LittleEndian.Uint64(header.payload[n:]))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(out []byte, f frame) []byte {
	start := len(out)
	out = append(out, plainMagic...)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(f.payload)))
	out = append(out, 0, 0, 0, 0, byte(f.kind))
	out = append(out, f.payload...)
	binary.LittleEndian.PutUint32(out[start+checksumOffset:], checksum(0, out[start:]))
	return out
}

// setPosition turns an encoded plain frame into a positioned frame for an offset in a
// segment.
func setPosition(encoded []byte, salt segmentSalt, offset int64) {
	copy(encoded, positionedMagic)
	sum := checksum(positionChecksum(salt, offset), encoded)
	binary.LittleEndian.PutUint32(encoded[checksumOffset:], sum)
}

// positionChecksum returns the initial value of a positioned frame's checksum.
func positionChecksum(salt segmentSalt, offset int64) uint32 {
	place := binary.LittleEndian.AppendUint64(nil, uint64(salt))
	place = binary.LittleEndian.AppendUint64(place, uint64(offset))
	return crc32.Checksum(place, castagnoli)
}

// checksum returns the checksum of an encoded frame's length, kind and payload, computed from
// an initial value.
func checksum(initial uint32, encoded []byte) uint32 {
	sum := crc32.Update(initial, castagnoli, encoded[lengthOffset:checksumOffset])
	return crc32.Update(sum, castagnoli, encoded[kindOffset:])
}

// frameReader reads the frames of one file.
type frameReader struct {
	data []byte
	salt segmentSalt
}

// newFrameReader returns a reader of a file's data that uses the salt in the file's header.
func newFrameReader(data []byte) frameReader {
	r := frameReader{data: data}
	if header, _, ok := r.frameAt(0); ok {
		r.salt = saltOf(header)
	}
	return r
}

// frameAt returns the frame at an offset and its encoded length. It reports false if there is
// no complete frame with a valid checksum. The payload shares memory with the file's data. In
// a segment with a salt, only the header may be a plain frame.
func (r frameReader) frameAt(offset int) (f frame, length int, ok bool) {
	data := r.data[offset:]
	if len(data) < frameHeaderSize {
		return frame{}, 0, false
	}
	initial := uint32(0)
	switch magic := string(data[:lengthOffset]); {
	case magic == positionedMagic:
		initial = positionChecksum(r.salt, int64(offset))
	case magic != plainMagic || r.salt != 0 && offset > 0:
		return frame{}, 0, false
	}
	payloadLength := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if payloadLength > int64(len(data)-frameHeaderSize) {
		return frame{}, 0, false
	}
	encoded := data[:frameHeaderSize+int(payloadLength)]
	if binary.LittleEndian.Uint32(data[checksumOffset:]) != checksum(initial, encoded) {
		return frame{}, 0, false
	}
	return frame{frameKind(data[kindOffset]), encoded[frameHeaderSize:]}, len(encoded), true
}

// readAll returns the valid frames at the start of the file, and the offset at which they
// end.
func (r frameReader) readAll() (frames []frame, end int) {
	for {
		f, length, ok := r.frameAt(end)
		if !ok {
			return frames, end
		}
		frames = append(frames, f)
		end += length
	}
}

// containsFrameFrom reports whether a valid frame begins at an offset or anywhere after it.
func (r frameReader) containsFrameFrom(offset int) bool {
	for ; ; offset++ {
		next := bytes.Index(r.data[offset:], []byte(magicPrefix))
		if next < 0 {
			return false
		}
		offset += next
		if _, _, ok := r.frameAt(offset); ok {
			return true
		}
	}
}
