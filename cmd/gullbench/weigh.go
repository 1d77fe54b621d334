package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	bolt "go.etcd.io/bbolt"

	"gullrudder/internal/config"
	"gullrudder/internal/site/store"
	"gullrudder/internal/standin/crash"
)

func weighCommand() *cobra.Command {
	var dir string
	var groups, size, bytes, keys int
	cmd := &cobra.Command{Use: "weigh", Short: "The store's log against bbolt on the same work", Args: cobra.NoArgs,
		Long: "Groups of changes, each made to last before the next: what a group commit asks of a storage engine. No network.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			root, err := os.MkdirTemp(dir, "gullbench-weigh-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(root)
			fmt.Fprintln(cmd.OutOrStdout(), "engine\tgroups/s\tchanges/s\topen ms\tMB on disk")
			for _, e := range []struct {
				name string
				run  func(dir string, groups, size, bytes, keys int) (wrote, opened time.Duration, err error)
			}{{"own", weighOwn}, {"bbolt", weighBolt}} {
				path := filepath.Join(root, e.name)
				wrote, opened, err := e.run(path, groups, size, bytes, keys)
				if err != nil {
					return fmt.Errorf("%s: %w", e.name, err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s\t%.0f\t%.0f\t%.1f\t%.1f\n", e.name, float64(groups)/wrote.Seconds(),
					float64(groups*size)/wrote.Seconds(), ms(opened), float64(sizeOf(path))/1e6)
			}
			return nil
		}}
	cmd.Flags().IntVar(&groups, "groups", 3000, "groups")
	cmd.Flags().IntVar(&size, "changes", 16, "changes of a group")
	cmd.Flags().IntVar(&bytes, "bytes", 200, "size of a value")
	cmd.Flags().IntVar(&keys, "keys", 10_000, "keys that the changes go round")
	cmd.Flags().StringVar(&dir, "dir", "", "a directory on the disk that is measured; a temporary one if none is given")
	return cmd
}

func sizeOf(path string) (n int64) {
	_ = filepath.Walk(path, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			n += info.Size()
		}
		return nil
	})
	return n
}

func weighOwn(path string, groups, size, bytes, keys int) (wrote, opened time.Duration, err error) {
	dir, err := store.LockDir(path)
	if err != nil {
		return 0, 0, err
	}
	defer dir.Close()
	log := slog.New(slog.DiscardHandler)
	state, disk, _, err := store.Open(dir, config.DefaultStore(), time.Now(), log)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	for g := range groups {
		batch := make([]store.Request, 0, size)
		for i := range size {
			n := g*size + i
			batch = append(batch, crash.Commit(nil, []crash.Op{{Key: fmt.Sprintf("k/%08d", n%keys), Value: value(n, bytes)}}))
		}
		e := state.Step(time.Now(), batch)
		if err := disk.Keep(e.Records); err != nil {
			return 0, 0, err
		}
		disk.Kept(len(e.Records))
		if disk.Due() {
			// At once, where the service does it beside its commits.
			s, err := disk.Begin(state.Freeze())
			for done := false; err == nil && !done; {
				done, err = s.Step()
			}
			if err == nil {
				err = disk.Prune(s)
			}
			if err != nil {
				return 0, 0, err
			}
			disk.Begun()
			disk.Finish(s, true)
		}
	}
	wrote = time.Since(began)
	began = time.Now()
	_, _, _, err = store.Open(dir, config.DefaultStore(), time.Now(), log)
	return wrote, time.Since(began), err
}

func weighBolt(path string, groups, size, bytes, keys int) (wrote, opened time.Duration, err error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return 0, 0, err
	}
	name := filepath.Join(path, "bolt")
	open := func() (*bolt.DB, error) { return bolt.Open(name, 0o600, nil) }
	db, err := open()
	if err != nil {
		return 0, 0, err
	}
	bucket := []byte("keys")
	began := time.Now()
	for g := range groups {
		err := db.Update(func(tx *bolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(bucket)
			for i := 0; i < size && err == nil; i++ {
				n := g*size + i
				err = b.Put(fmt.Appendf(nil, "k/%08d", n%keys), []byte(value(n, bytes)))
			}
			return err
		})
		if err != nil {
			return 0, 0, err
		}
	}
	wrote = time.Since(began)
	if err := db.Close(); err != nil {
		return 0, 0, err
	}
	began = time.Now()
	if db, err = open(); err != nil {
		return 0, 0, err
	}
	// A store that lists and watches needs the keys in order and in memory, or reads them here.
	err = db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucket).ForEach(func(_, _ []byte) error { return nil })
	})
	opened = time.Since(began)
	if e := db.Close(); err == nil {
		err = e
	}
	return wrote, opened, err
}
