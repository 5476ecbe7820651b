package audit

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/mod/sumdb/tlog"
)

// checkpoint is the signed text: the log's origin, the number of entries, and the root of the
// Merkle tree over them.
type checkpoint struct {
	origin string
	size   int64
	root   tlog.Hash
}

const checkpointLines = 3

func (c checkpoint) encode() string { return fmt.Sprintf("%s\n%d\n%s\n", c.origin, c.size, c.root) }

func parseCheckpoint(text string) (checkpoint, error) {
	lines := strings.Split(text, "\n")
	if len(lines) < checkpointLines {
		return checkpoint{}, fmt.Errorf("the checkpoint has %d lines", len(lines))
	}
	size, sizeErr := strconv.ParseInt(lines[1], 10, 64)
	root, rootErr := tlog.ParseHash(lines[2])
	if sizeErr != nil || rootErr != nil {
		return checkpoint{}, errors.New("the checkpoint cannot be parsed")
	}
	return checkpoint{lines[0], size, root}, nil
}
