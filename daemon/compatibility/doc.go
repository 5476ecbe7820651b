// Package compatibility holds tests only: they open data folders and audit logs that
// earlier commits wrote, and compare all that is read with what was recorded then.
//
// testdata/COMMIT/fN is a cluster of 2N+1 replicas with N backups: a data folder of
// each replica and its golden files. They are never written again for a later commit:
// what an earlier release has stored must stay readable whatever the code calls it.
package compatibility
