package main

import "github.com/spf13/cobra"

func commitsCommand() *cobra.Command { return &cobra.Command{Use: "commits"} }
func restartCommand() *cobra.Command { return &cobra.Command{Use: "restart"} }
func weighCommand() *cobra.Command   { return &cobra.Command{Use: "weigh"} }
