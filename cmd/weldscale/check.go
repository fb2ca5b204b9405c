package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	operator "weldscale/internal/config"
)

// This file implements the check command, which validates a configuration file without starting anything.

// checkCmd checks a file.
type checkCmd struct {
	File     string `arg:"" help:"An operator's file (HCL), or the platform's configuration (JSON)." placeholder:"FILE"`
	MemoryMB int    `help:"The memory of the scheduler that the operator's file is for, in MB." default:"192"`
}

// Run implements the command.
func (c checkCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		conf, err := loadConfig(func(key string) string { return map[string]string{"GW_CONFIG": c.File}[key] })
		if err != nil {
			return err
		}
		return conf.show(os.Stdout)
	}
	f, err := operator.Read(c.File, c.MemoryMB<<20)
	if err != nil {
		return err
	}
	return showFile(os.Stdout, &f, c.MemoryMB<<20)
}

// show prints the values of a platform's configuration.
func (c *config) show(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	s := c.engine.Settings
	fmt.Fprintf(t, "name\t%s\nlisten\t%s\ndiscovery\t%s\nmemory_mb\t%d\nsockets\t%d\nschedulers\t%d\nclasses\t%s\n",
		c.Name, c.Listen, c.Discovery, c.Limits.MemoryMB, c.Limits.Sockets, s.Nodes, strings.Join(c.classes, ", "))
	return t.Flush()
}

// showFile prints the settings in force with an operator's file and marks the defaults.
func showFile(w io.Writer, f *operator.File, memory int) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, s := range operator.Settings {
		mark := ""
		if s.Value(f) == s.Default(memory) {
			mark = "default"
		}
		fmt.Fprintf(t, "%s.%s\t%s\t%s\n", s.Block, s.Name, s.Value(f), mark)
	}
	for _, l := range f.SlowPeers.Links {
		fmt.Fprintf(t, "link %s\t%v\t%.0f bytes/s\n", l.Name, l.Prefixes, l.In)
	}
	for _, s := range f.Services {
		from := fmt.Sprintf("%d workers", len(s.Workers))
		if s.Discovery+s.File != "" {
			from = "workers of " + s.Discovery + s.File
		}
		fmt.Fprintf(t, "service %s\t%d routes, %s\tclasses %s\n", s.Name, len(s.Rules), from, strings.Join(s.ClassNames(), ", "))
	}
	if f.Control != "" {
		fmt.Fprintf(t, "control.socket\t%s\n", f.Control)
	}
	return t.Flush()
}
