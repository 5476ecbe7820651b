package state_test

import (
	"testing"

	"sorrelloom/core/state"
)

// logSuffixOf returns a log suffix after index 100 with commands of the given epochs, and
// their positions. The first epoch is that of the base.
func logSuffixOf(epochs ...uint64) (suffix state.LogSuffix, positions []state.LogPosition) {
	base := state.LogPosition{Epoch: epochs[0], Index: 100}
	suffix = state.NewLogSuffix(base)
	positions = append(positions, base)
	for i, epoch := range epochs[1:] {
		p := state.LogPosition{Epoch: epoch, Index: 101 + uint64(i)}
		suffix.Append(state.Encode(state.Command{LogPosition: p, Kind: state.KindTick}))
		positions = append(positions, p)
	}
	return suffix, positions
}

// TestLogSuffixBounded appends commands beyond the bounds in number and bytes, and checks
// that the suffix keeps enough of them and not too many.
func TestLogSuffixBounded(t *testing.T) {
	for _, row := range []struct{ size, count int }{{1, 5 * state.LogSuffixCommands}, {1 << 20, 100}} {
		suffix := state.NewLogSuffix(state.LogPosition{})
		var newest state.LogPosition
		for i := range row.count {
			newest = state.LogPosition{Epoch: 1, Index: uint64(i + 1)}
			suffix.Append(state.EncodedCommand{Command: state.Command{LogPosition: newest}, Encoded: make([]byte, row.size)})
		}
		kept, ok := suffix.CommandsAfter(suffix.Base())
		if !ok || len(kept) > 2*state.LogSuffixCommands || len(kept)*row.size > 2*state.LogSuffixBytes {
			t.Errorf("%d commands of %d bytes: %d are kept, too many", row.count, row.size, len(kept))
		}
		if len(kept) < state.LogSuffixCommands && len(kept)*row.size < state.LogSuffixBytes {
			t.Errorf("%d commands of %d bytes: %d are kept, too few", row.count, row.size, len(kept))
		}
		if rest, ok := suffix.CommandsAfter(newest); !ok || len(rest) > 0 {
			t.Errorf("%d commands follow the newest", len(rest))
		}
	}
}

// TestLogSuffixWindow bounds a window in number and bytes, and rejects one that goes
// backwards or starts in another history.
func TestLogSuffixWindow(t *testing.T) {
	suffix, at := logSuffixOf(1, 1, 1, 1, 1, 1)
	one, _ := suffix.CommandsAfter(at[4])
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
		got, end, ok := suffix.Window(at[row.from], at[row.to], row.entries, row.bytes)
		if !ok || len(got) != row.want || end != at[row.from+row.want] {
			t.Errorf("%+v: %d commands up to %v, %v", row, len(got), end, ok)
		}
	}
	if _, _, ok := suffix.Window(at[3], at[2], 10, 1000); ok {
		t.Error("a window that goes backwards is accepted")
	}
	if _, _, ok := suffix.Window(state.LogPosition{Epoch: 2, Index: 102}, at[5], 10, 1000); ok {
		t.Error("a window that starts in another history is accepted")
	}
}

// TestLogSuffixLastPossiblyCommon finds the last position that two histories can share.
func TestLogSuffixLastPossiblyCommon(t *testing.T) {
	suffix, at := logSuffixOf(1, 1, 1, 3, 3)
	for _, row := range []struct {
		other state.LogPosition
		want  int
	}{
		{state.LogPosition{Epoch: 1, Index: 103}, 2},
		{state.LogPosition{Epoch: 2, Index: 102}, 2},
		{state.LogPosition{Epoch: 2, Index: 150}, 2},
		{state.LogPosition{Epoch: 1, Index: 101}, 1},
		{state.LogPosition{Epoch: 3, Index: 110}, 4},
		{state.LogPosition{Epoch: 1, Index: 100}, 0},
	} {
		if got, ok := suffix.LastPossiblyCommon(row.other); !ok || got != at[row.want] {
			t.Errorf("%v: %v, %v, want %v", row.other, got, ok, at[row.want])
		}
	}
	if got, ok := suffix.LastPossiblyCommon(state.LogPosition{Epoch: 1, Index: 99}); ok {
		t.Errorf("history that ends before the suffix: %v", got)
	}
	if dropped := suffix.TruncateAfter(at[2]); dropped != 2 || suffix.Contains(at[3]) || !suffix.Contains(at[2]) {
		t.Errorf("%d commands were dropped", dropped)
	}
}
