// Items, which the frames of snapshots and segments hold.

package storage

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"sorrelloom/core/machine"
)

// itemKind says what an item of a frame is.
type itemKind byte

const (
	// itemOwn is a record of the keeper itself; the newest of a key stands.
	itemReplicaRecord itemKind = 'o'
	// itemLedger is a record of the ledger, in snapshots only.
	itemStateRecord itemKind = 'l'
	// itemCommand is a command of the ledger, in segments only.
	itemCommand itemKind = 'c'
	// itemDrop takes back so many of the commands before it.
	itemTruncate itemKind = 'd'
)

type item struct {
	kind itemKind
	data []byte
}

func recordItem(kind itemKind, r machine.Record) item { return item{kind, machine.MustJSON(r)} }

func appendItem(out []byte, i item) []byte {
	out = append(out, byte(i.kind))
	out = binary.AppendUvarint(out, uint64(len(i.data)))
	return append(out, i.data...)
}

func truncateItem(count int) item {
	return item{itemTruncate, binary.AppendUvarint(nil, uint64(count))}
}

// drop takes the last commands away, as many as the item says.
func (i item) truncate(commands []json.RawMessage) ([]json.RawMessage, error) {
	count, n := binary.Uvarint(i.data)
	if n <= 0 || count > uint64(len(commands)) {
		return nil, fmt.Errorf("it drops %d commands of %d", count, len(commands))
	}
	return commands[:len(commands)-int(count)], nil
}

// readItems takes the payload of a frame apart. The items share its data.
func readItems(payload []byte) ([]item, error) {
	var out []item
	for len(payload) > 0 {
		kind := itemKind(payload[0])
		length, n := binary.Uvarint(payload[1:])
		if n <= 0 || length > uint64(len(payload)-1-n) {
			return nil, fmt.Errorf("an item is longer than its frame")
		}
		rest := payload[1+n:]
		out = append(out, item{kind, rest[:length:length]})
		payload = rest[length:]
	}
	return out, nil
}

func (i item) record() (machine.Record, error) {
	var r machine.Record
	err := json.Unmarshal(i.data, &r)
	return r, err
}
