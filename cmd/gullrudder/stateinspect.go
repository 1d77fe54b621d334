package main

import (
	"gullrudder/internal/site/kvserver"

	"github.com/spf13/cobra"
)

// inspectionView is the output of inspect; as JSON under these names.
type inspectionView struct {
	kvserver.Inspection
	Damage  string             `json:"damage,omitempty"` // why the directory cannot be opened
	AllKeys []kvserver.KeyInfo `json:"all_keys,omitempty"`
}

func stateInspectCommand() *cobra.Command {
	var output string
	var listKeys bool
	cmd := &cobra.Command{
		Use: "inspect DIR", Short: "Show content and damage of a state service's directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			a := apiClient{output: output, out: cmd.OutOrStdout()}
			view, damage := inspect(args[0], listKeys)
			if err := a.show(view, func(p *printer) { printInspectionView(p, view) }); err != nil {
				return err
			}
			if damage != nil {
				return &exitError{exitDamaged, damage}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&output, "output", outputTable, "output format: table or json")
	cmd.Flags().BoolVar(&listKeys, "keys", false, "also list the keys")
	return cmd
}

// inspect reads a store's directory. The view has what could be read, even if the directory is damaged.
func inspect(dir string, listKeys bool) (view inspectionView, damage error) {
	view.Inspection, damage = kvserver.Inspect(dir)
	if damage == nil && listKeys {
		view.AllKeys, damage = kvserver.Keys(dir)
	}
	if damage != nil {
		view.Damage = damage.Error()
	}
	return view, damage
}

func printInspectionView(out *printer, view inspectionView) {
	out.printf("revision\t%d\nkeys\t%d\nleases\t%d\nsnapshot\t%s, %d bytes\nlog\t%d segments, %d frames, %d bytes\n",
		view.Revision, view.Keys, view.Leases, orDash(view.Snapshot), view.SnapshotBytes,
		len(view.Segments), view.Frames, view.LogBytes)
	if view.TornBytes > 0 {
		out.printf("incomplete last write\t%d bytes, never confirmed\n", view.TornBytes)
	}
	for _, name := range view.Segments {
		out.printf("segment\t%s\n", name)
	}
	for _, name := range view.Snapshots {
		out.printf("snapshot\t%s\n", name)
	}
	for _, name := range view.UnfinishedSnapshots {
		out.printf("unfinished snapshot\t%s\n", name)
	}
	for _, skipped := range view.SkippedDamage {
		out.printf("skipped snapshot\t%s\n", skipped)
	}
	damage := view.Damage
	if damage == "" {
		damage = "none"
	}
	out.printf("damage\t%s\n", damage)
	printKeys(out, view.AllKeys)
}

func printKeys(out *printer, keys []kvserver.KeyInfo) {
	if len(keys) > 0 {
		out.println("\nKEY\tBYTES\tREVISION\tLEASE")
	}
	for _, key := range keys {
		out.printf("%s\t%d\t%d\t%d\n", key.Key, key.ValueBytes, key.ModRevision, key.LeaseID)
	}
}
