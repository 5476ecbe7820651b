// Package compatibility contains only tests. They open data directories and audit logs
// written by earlier commits, and compare everything that is read with what was recorded at
// that commit.
//
// testdata/COMMIT/fN is a cluster of 2N+1 replicas with N backups: the data directory of each
// replica and its golden files. They are never regenerated for a later commit: data stored by
// an earlier release must stay readable, whatever its fields are called in the code.
package compatibility
