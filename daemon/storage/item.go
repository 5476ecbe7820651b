package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"sorrelloom/core/machine"
)

// itemKind is the type of an item.
type itemKind byte

const (
	// itemReplicaRecord is a record of the replica itself. It replaces earlier records with
	// the same key.
	itemReplicaRecord itemKind = 'o'
	// itemStateRecord is a record of the replicated state, in snapshots only.
	itemStateRecord itemKind = 'l'
	// itemCommand is a command of the log, in segments only.
	itemCommand itemKind = 'c'
	// itemTruncate removes a number of commands from the end of the log so far, in segments
	// only.
	itemTruncate itemKind = 'd'
)

// item is one element in the payload of a kindItems frame. It is encoded as its kind in one
// byte, the length of its data as a varint, and the data.
type item struct {
	kind itemKind
	data []byte
}

func recordItem(kind itemKind, record machine.Record) item {
	return item{kind, machine.MustJSON(record)}
}

func truncateItem(count int) item {
	return item{itemTruncate, binary.AppendUvarint(nil, uint64(count))}
}

func appendItem(out []byte, i item) []byte {
	out = append(out, byte(i.kind))
	out = binary.AppendUvarint(out, uint64(len(i.data)))
	return append(out, i.data...)
}

// readItems decodes the payload of a kindItems frame. The items share memory with it.
func readItems(payload []byte) ([]item, error) {
	var items []item
	for len(payload) > 0 {
		kind := itemKind(payload[0])
		length, n := binary.Uvarint(payload[1:])
		if n <= 0 || length > uint64(len(payload)-1-n) {
			return nil, errors.New("item exceeds its frame")
		}
		rest := payload[1+n:]
		items = append(items, item{kind, rest[:length:length]})
		payload = rest[length:]
	}
	return items, nil
}

// readAllItems returns the items of all kindItems frames.
func readAllItems(frames []frame) ([]item, error) {
	var all []item
	for _, f := range frames {
		if f.kind != kindItems {
			continue
		}
		items, err := readItems(f.payload)
		if err != nil {
			return nil, err
		}
		all = append(all, items...)
	}
	return all, nil
}

// record decodes the record in an item.
func (i item) record() (machine.Record, error) {
	var record machine.Record
	err := json.Unmarshal(i.data, &record)
	return record, err
}

// truncate removes as many commands from the end as the item specifies.
func (i item) truncate(commands []json.RawMessage) ([]json.RawMessage, error) {
	count, n := binary.Uvarint(i.data)
	if n <= 0 || count > uint64(len(commands)) {
		return nil, fmt.Errorf("cannot truncate %d of %d commands", count, len(commands))
	}
	return commands[:len(commands)-int(count)], nil
}

// replayCommands applies the items of a segment to the commands before it. Items other than
// commands and truncations are passed to other.
func replayCommands(
	items []item, commands []json.RawMessage, other func(item) error,
) (_ []json.RawMessage, err error) {
	for _, i := range items {
		switch i.kind {
		case itemCommand:
			commands = append(commands, i.data)
		case itemTruncate:
			commands, err = i.truncate(commands)
		default:
			err = other(i)
		}
		if err != nil {
			return nil, err
		}
	}
	return commands, nil
}
