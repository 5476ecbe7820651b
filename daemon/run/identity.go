package run

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
)

// RandomID returns a random 63-bit number for IDs and seeds. State machines generate no
// random numbers of their own, so that they stay deterministic.
func RandomID() uint64 {
	var data [8]byte
	if _, err := rand.Read(data[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(data[:]) >> 1
}

// RandomHexID returns a random ID of 16 hexadecimal digits.
func RandomHexID() string {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], RandomID())
	return hex.EncodeToString(data[:])
}
