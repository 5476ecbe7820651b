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
	lockFileName          = "lock"
	// legacyFileName is the data file of releases that stored their records in bbolt.
	legacyFileName = "ledger.db"
)

func snapshotName(number uint64) string { return fmt.Sprintf("%s%012d", snapshotPrefix, number) }
func segmentName(number uint64) string  { return fmt.Sprintf("%s%012d", segmentPrefix, number) }

// numbersWithPrefix returns the numbers of the files with a prefix, in ascending order.
func numbersWithPrefix(names []string, prefix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if number, err := strconv.ParseUint(digits, 10, 64); err == nil && number > 0 {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
