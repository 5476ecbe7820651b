package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// All files consist of frames. A frame is a magic number, the length of the payload in
// four bytes, a checksum in four bytes, the kind in one byte, and the payload.
//
// The checksum covers the length, the kind and the payload. That of a placed frame begins
// from the salt of its segment and the frame's offset in the file. A payload may hold any
// bytes that a caller sends, also those of a whole frame; it cannot hold a placed one, since
// its sender knows neither. Segments that earlier releases began have no salt.
const (
	plainMagic  = "\x1fSL\x01"
	placedMagic = "\x1fSL\x02"

	// magicPrefix is what both begin with.
	magicPrefix = "\x1fSL"

	lengthOffset    = len(plainMagic)
	checksumOffset  = lengthOffset + 4
	kindOffset      = checksumOffset + 4
	frameHeaderSize = kindOffset + 1

	// saltSize is the encoded size of a salt, maxSegmentHeaderSize that of a segment's
	// first frame at the most.
	saltSize             = 8
	maxSegmentHeaderSize = frameHeaderSize + binary.MaxVarintLen64 + saltSize
)

// frameKind says what a frame holds.
type frameKind byte

const (
	// kindHeader begins each file and holds its number, and the salt of a segment.
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

// segmentSalt makes the checksums of a segment's frames unknown to whoever sends what they
// hold; 0 is that of a segment of an earlier release.
type segmentSalt uint64

// segmentHeader returns the encoded first frame of a segment.
func segmentHeader(number uint64, salt segmentSalt) []byte {
	payload := binary.AppendUvarint(nil, number)
	payload = binary.LittleEndian.AppendUint64(payload, uint64(salt))
	return appendFrame(nil, frame{kindHeader, payload})
}

// saltOf returns the salt that the header of a segment holds, if it has one.
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

// place turns an encoded frame into a placed one, for its offset in a segment.
func place(encoded []byte, salt segmentSalt, offset int64) {
	copy(encoded, placedMagic)
	sum := checksum(placeChecksum(salt, offset), encoded)
	binary.LittleEndian.PutUint32(encoded[checksumOffset:], sum)
}

// placeChecksum is what the checksum of a placed frame begins from.
func placeChecksum(salt segmentSalt, offset int64) uint32 {
	place := binary.LittleEndian.AppendUint64(nil, uint64(salt))
	place = binary.LittleEndian.AppendUint64(place, uint64(offset))
	return crc32.Checksum(place, castagnoli)
}

// checksum covers the length, the kind and the payload of an encoded frame.
func checksum(begin uint32, encoded []byte) uint32 {
	sum := crc32.Update(begin, castagnoli, encoded[lengthOffset:checksumOffset])
	return crc32.Update(sum, castagnoli, encoded[kindOffset:])
}

// frameReader reads the frames of one file.
type frameReader struct {
	data []byte
	salt segmentSalt
}

// newFrameReader reads a file, with the salt that its header holds.
func newFrameReader(data []byte) frameReader {
	r := frameReader{data: data}
	if header, _, ok := r.frameAt(0); ok {
		r.salt = saltOf(header)
	}
	return r
}

// frameAt returns the frame at an offset and its encoded length, if it is whole. The
// payload shares memory with the file's data. In a segment with a salt only the header is
// a plain frame.
func (r frameReader) frameAt(offset int) (f frame, length int, ok bool) {
	data := r.data[offset:]
	if len(data) < frameHeaderSize {
		return frame{}, 0, false
	}
	begin := uint32(0)
	switch magic := string(data[:lengthOffset]); {
	case magic == placedMagic:
		begin = placeChecksum(r.salt, int64(offset))
	case magic != plainMagic || r.salt != 0 && offset > 0:
		return frame{}, 0, false
	}
	payloadLength := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if payloadLength > int64(len(data)-frameHeaderSize) {
		return frame{}, 0, false
	}
	encoded := data[:frameHeaderSize+int(payloadLength)]
	if binary.LittleEndian.Uint32(data[checksumOffset:]) != checksum(begin, encoded) {
		return frame{}, 0, false
	}
	return frame{frameKind(data[kindOffset]), encoded[frameHeaderSize:]}, len(encoded), true
}

// readAll returns all whole frames up to the first position where none begins, and that
// position.
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

// containsFrameFrom reports whether a whole frame begins anywhere from an offset on.
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
