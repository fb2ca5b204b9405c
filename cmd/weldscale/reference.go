package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	operator "weldscale/internal/config"
	"weldscale/internal/engine"
	"weldscale/internal/pace"
)

// This file generates the reference page of all commands, flags, settings and counters from their definitions, so that
// none can be missing. A test compares docs/REFERENCE.md with it.

// referenceCmd prints the reference page.
type referenceCmd struct{}

// Run implements the command.
func (referenceCmd) Run() error {
	fmt.Print(reference())
	return nil
}

// tableCell returns s for use in a table cell in Markdown.
func tableCell(s string) string { return strings.ReplaceAll(strings.TrimSpace(s), "|", "\\|") }

// reference returns the reference page in Markdown.
func reference() string {
	var b strings.Builder
	b.WriteString("# Reference\n\nMade by `weldscale reference`; a test holds this page against the code.\n\n## Commands\n")
	k := newParser(&cli{})
	flags := func(list []*kong.Flag) {
		if len(list) == 0 {
			return
		}
		b.WriteString("\n| flag | default | |\n| --- | --- | --- |\n")
		for _, f := range list {
			fmt.Fprintf(&b, "| `--%s` | %s | %s |\n", f.Name, tableCell(f.Default), tableCell(f.Help))
		}
	}
	b.WriteString("\n### every command\n")
	flags(slices.DeleteFunc(slices.Clone(k.Model.Flags), func(f *kong.Flag) bool { return f.Name == "help" }))
	for _, n := range k.Model.Children {
		if n.Hidden {
			continue
		}
		fmt.Fprintf(&b, "\n### `weldscale %s", n.Name)
		for _, p := range n.Positional {
			fmt.Fprintf(&b, " %s", strings.ToUpper(p.Name))
		}
		fmt.Fprintf(&b, "`\n\n%s\n", n.Help)
		for _, p := range n.Positional {
			fmt.Fprintf(&b, "- `%s`: %s\n", strings.ToUpper(p.Name), tableCell(p.Help))
		}
		flags(n.Flags)
	}
	b.WriteString("\nExit status: 0; 1 with a line for each fault on standard error.\n\n## The operator's file\n\n" +
		"For a scheduler of 192 MB. Services and their blocks: [SERVICES.md](SERVICES.md). `control { socket = PATH }` opens " +
		"the control socket, `metrics {}` the path `/-/metrics`, `link NAME { prefixes, least_rate }` is a known slow line.\n\n" +
		"| setting | unit | default | allowed | |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range operator.Settings {
		fmt.Fprintf(&b, "| `%s.%s` | %s | %s | %s | %s |\n", s.Block, s.Name, s.Unit, s.Default(192<<20), s.Allowed(), tableCell(s.Doc))
	}
	b.WriteString("\n## Environment\n\n`GW_CONFIG` names the platform's configuration; `GW_NAME`, `GW_LISTEN` and `GW_DISCOVERY` stand in " +
		"for what it leaves out.\n\n## Counters\n\nOf `/-/stats`; what they mean: [ONCALL.md](ONCALL.md), [SLOW_PEERS.md](SLOW_PEERS.md), " +
		"[SERVICES.md](SERVICES.md). `/-/metrics` has them as `weldscale_NAME` with the label `service`, and the histograms " +
		"`weldscale_wait_seconds`, `weldscale_probe_seconds`, `weldscale_attempt_seconds` and `weldscale_answer_seconds`.\n\n")
	for _, name := range counterNames() {
		fmt.Fprintf(&b, "- `%s`\n", name)
	}
	return b.String()
}

// counterNames returns the names of all counters in the order in which they are printed.
func counterNames() []string {
	var all engine.Counts
	for i := range all.Outcomes {
		all.Outcomes[i], all.Probes[i] = 1, 1
	}
	var out []string
	for _, m := range regexp.MustCompile(`([a-z0-9_.]+)=`).FindAllStringSubmatch(all.String()+" "+pace.Counts{}.String()+
		" goroutines=0 log_dropped=0 "+(&service{}).line("", nil), -1) {
		if !slices.Contains(out, m[1]) {
			out = append(out, m[1])
		}
	}
	return out
}
