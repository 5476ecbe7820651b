// Package store keeps a keeper's records in one bbolt file. A batch is one
// transaction, synced before it is reported; a file that fails its check is
// refused with its name, never repaired by guessing.
package store

import (
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"
	"go.etcd.io/bbolt"

	"sorrelloom/core/machine"
)

var (
	namespace = errorx.NewNamespace("store")
	Damaged   = namespace.NewType("damaged")
	Unusable  = namespace.NewType("unusable")
)

const fileName = "ledger.db"

type Store struct {
	path string
	db   *bbolt.DB
}

// Open checks the file and gives back its records.
func Open(folder string, buckets []string) (s *Store, records []machine.Record, err error) {
	path := filepath.Join(folder, fileName)
	defer func() {
		if v := recover(); v != nil {
			s, records, err = nil, nil, Damaged.New("data file %s: %v", path, v)
		}
	}()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, Unusable.Wrap(err, "data folder %s", folder)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, nil, Damaged.Wrap(err, "data file %s", path)
	}
	if err := syncFolder(folder); err != nil {
		return nil, nil, Unusable.Wrap(err, "data folder %s", folder)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for fault := range tx.Check() {
			return fault
		}
		for _, name := range buckets {
			bucket, err := tx.CreateBucketIfNotExists([]byte(name))
			if err != nil {
				return err
			}
			err = bucket.ForEach(func(key, value []byte) error {
				records = append(records, machine.Record{Bucket: name, Key: string(key), Value: append([]byte(nil), value...)})
				return nil
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, nil, Damaged.Wrap(err, "data file %s", path)
	}
	return &Store{path, db}, records, nil
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Write makes one batch last.
func (s *Store) Write(w machine.Write) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range w.Wipe {
			if err := tx.DeleteBucket([]byte(name)); err != nil {
				return err
			}
			if _, err := tx.CreateBucket([]byte(name)); err != nil {
				return err
			}
		}
		for _, r := range w.Records {
			bucket := tx.Bucket([]byte(r.Bucket))
			var err error
			if len(r.Value) == 0 {
				err = bucket.Delete([]byte(r.Key))
			} else {
				err = bucket.Put([]byte(r.Key), r.Value)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return Unusable.Wrap(err, "data file %s", s.path)
	}
	return nil
}

func (s *Store) Close() error { return s.db.Close() }
