package audit

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"sorrelloom/core/state"
)

// noEntry is the entry index of a finding that concerns no single entry.
const noEntry = -1

// Finding is a problem with one log, or with several logs together.
type Finding struct {
	Dir string `json:"folder,omitempty"`
	// EntryIndex is the index of the entry in the log, starting at 0, or -1 if the finding
	// concerns no single entry.
	EntryIndex int64  `json:"entry"`
	Reason     string `json:"why"`
}

// Report is the result of a verification.
type Report struct {
	EntryCount int `json:"entries"`
	// FirstIndex and LastIndex are the log positions of the first and last decisions in any
	// of the logs.
	FirstIndex uint64    `json:"from"`
	LastIndex  uint64    `json:"to"`
	Findings   []Finding `json:"findings"`
}

func (r *Report) addf(dir string, entry int64, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{dir, entry, fmt.Sprintf(format, args...)})
}

// Verify checks each log against its checkpoint, and all logs together for missing decisions.
// Without keys, it uses the public key in each directory. This proves less, since whoever can
// replace a log can also replace its key.
func Verify(dirs []string, keys []string) (Report, error) {
	report := Report{Findings: []Finding{}}
	merged := mergedLog{lines: map[uint64]string{}, previous: map[uint64]uint64{}}
	for _, dir := range dirs {
		lines, err := verifyLog(dir, keys, &report)
		if err != nil {
			return report, err
		}
		merged.add(dir, lines, &report)
	}
	report.EntryCount = len(merged.lines)
	merged.findGaps(&report)
	return report, nil
}

// mergedLog contains the entries of all logs by their log position.
type mergedLog struct {
	lines map[uint64]string
	// previous is the log position of each entry's predecessor.
	previous map[uint64]uint64
}

// add adds the entries of one log, and reports entries that differ from those of other logs.
func (m *mergedLog) add(dir string, lines []string, report *Report) {
	for i, line := range lines {
		var entry state.AuditEntry
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			report.addf(dir, int64(i), "not a JSON entry")
			continue
		}
		if other, ok := m.lines[entry.Index]; ok && other != line {
			report.addf(dir, int64(i), "sequence %d says something else in another log", entry.Index)
		}
		m.lines[entry.Index], m.previous[entry.Index] = line, entry.PreviousIndex
		if report.FirstIndex == 0 || entry.Index < report.FirstIndex {
			report.FirstIndex = entry.Index
		}
		report.LastIndex = max(report.LastIndex, entry.Index)
	}
}

// findGaps follows the entries from the last to the first by their predecessors, and reports
// predecessors after FirstIndex that are in none of the logs. It never moves forward: an entry that names
// itself or a later one as its predecessor is reported, and the search continues with the
// next lower position.
func (m *mergedLog) findGaps(report *Report) {
	indexes := slices.Sorted(maps.Keys(m.previous))
	for at := len(indexes) - 1; at > 0; {
		index := indexes[at]
		previous := m.previous[index]
		if previous >= index {
			report.addf("", noEntry, "the decision of sequence %d names %d as the one before it", index, previous)
			at--
			continue
		}
		next, present := slices.BinarySearch(indexes, previous)
		if !present {
			next--
			if previous > report.FirstIndex {
				report.addf("", noEntry, "the decision of sequence %d is missing; the one before it that is there is %d",
					previous, indexes[next])
			}
		}
		at = next
	}
}
