package ledger_test

import (
	"testing"

	"sorrelloom/core/ledger"
)

func tailOf(epochs ...uint64) (tail ledger.Tail, positions []ledger.Position) {
	base := ledger.Position{Epoch: epochs[0], Sequence: 100}
	tail = ledger.TailFrom(base)
	positions = append(positions, base)
	for i, epoch := range epochs[1:] {
		p := ledger.Position{Epoch: epoch, Sequence: 101 + uint64(i)}
		tail.Add(ledger.Encode(ledger.Command{Position: p, Kind: ledger.KindTick}))
		positions = append(positions, p)
	}
	return tail, positions
}

func TestATailIsBoundedInNumberAndBytes(t *testing.T) {
	for _, row := range []struct{ size, count int }{{1, 5 * ledger.TailMax}, {1 << 20, 100}} {
		tail := ledger.TailFrom(ledger.Position{})
		var newest ledger.Position
		for i := range row.count {
			newest = ledger.Position{Epoch: 1, Sequence: uint64(i + 1)}
			tail.Add(ledger.Logged{Command: ledger.Command{Position: newest}, Encoded: make([]byte, row.size)})
		}
		kept, ok := tail.Since(tail.Base())
		if !ok || len(kept) > 2*ledger.TailMax || len(kept)*row.size > 2*ledger.TailBytes {
			t.Errorf("%d commands of %d bytes: %d are kept", row.count, row.size, len(kept))
		}
		if len(kept) < ledger.TailMax && len(kept)*row.size < ledger.TailBytes {
			t.Errorf("%d commands of %d bytes: only %d are kept", row.count, row.size, len(kept))
		}
		if rest, ok := tail.Since(newest); !ok || len(rest) > 0 {
			t.Errorf("after the newest come %d", len(rest))
		}
	}
}

func TestAWindowIsBounded(t *testing.T) {
	tail, at := tailOf(1, 1, 1, 1, 1, 1)
	one, _ := tail.Since(at[4])
	size := len(one[0])
	for _, row := range []struct{ from, to, entries, bytes, want int }{
		{0, 5, 10, 10 * size, 5},
		{0, 5, 2, 10 * size, 2},
		{0, 5, 10, 3 * size, 3},
		{0, 5, 10, 3*size - 1, 2},
		{0, 5, 10, 1, 1},
		{0, 3, 10, 10 * size, 3},
		{3, 3, 10, 10 * size, 0},
	} {
		got, end, ok := tail.Window(at[row.from], at[row.to], row.entries, row.bytes)
		if !ok || len(got) != row.want || end != at[row.from+row.want] {
			t.Errorf("%+v: %d commands up to %v, %v", row, len(got), end, ok)
		}
	}
	if _, _, ok := tail.Window(at[3], at[2], 10, 1000); ok {
		t.Error("a window went backwards")
	}
	if _, _, ok := tail.Window(ledger.Position{Epoch: 2, Sequence: 102}, at[5], 10, 1000); ok {
		t.Error("a window began in another history")
	}
}

func TestWhatTwoHistoriesCanHaveInCommon(t *testing.T) {
	tail, at := tailOf(1, 1, 1, 3, 3)
	for _, row := range []struct {
		other ledger.Position
		want  int
	}{
		{ledger.Position{Epoch: 1, Sequence: 103}, 2},
		{ledger.Position{Epoch: 2, Sequence: 102}, 2},
		{ledger.Position{Epoch: 2, Sequence: 150}, 2},
		{ledger.Position{Epoch: 1, Sequence: 101}, 1},
		{ledger.Position{Epoch: 3, Sequence: 110}, 4},
		{ledger.Position{Epoch: 1, Sequence: 100}, 0},
	} {
		if got, ok := tail.NotAfter(row.other); !ok || got != at[row.want] {
			t.Errorf("%v: %v, %v, want %v", row.other, got, ok, at[row.want])
		}
	}
	if got, ok := tail.NotAfter(ledger.Position{Epoch: 1, Sequence: 99}); ok {
		t.Errorf("before the tail: %v", got)
	}
	if dropped := tail.Cut(at[2]); dropped != 2 || tail.Holds(at[3]) || !tail.Holds(at[2]) {
		t.Errorf("cut %d", dropped)
	}
}
