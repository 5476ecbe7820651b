// The names of the files in a data folder.

package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	snapshotPrefix        = "snapshot-"
	segmentPrefix         = "log-"
	temporarySnapshotName = "snapshot.tmp"
	// earlierName is the data file of releases that kept records in a bbolt file.
	legacyFileName = "ledger.db"
)

func snapshotName(number uint64) string { return fmt.Sprintf("%s%012d", snapshotPrefix, number) }
func segmentName(number uint64) string  { return fmt.Sprintf("%s%012d", segmentPrefix, number) }

// numbered gives the numbers of the files with a prefix, the smallest first.
func numbersWithPrefix(names []string, prefix string) []uint64 {
	var out []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if number, err := strconv.ParseUint(digits, 10, 64); err == nil && number > 0 {
			out = append(out, number)
		}
	}
	slices.Sort(out)
	return out
}
