package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"weldscale/internal/fleetclient"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show what each controller knows",
		Action: surveyAction(statusTable),
	}
}

func membersCommand() *cli.Command {
	return &cli.Command{
		Name:   "members",
		Usage:  "show the controllers and who takes them to be alive",
		Action: surveyAction(membersTable),
	}
}

func replicasCommand() *cli.Command {
	return &cli.Command{
		Name:   "replicas",
		Usage:  "show the replicas of the register",
		Action: surveyAction(replicasTable),
	}
}

// surveyAction returns an action that queries the status of all controllers and prints it as the table that tabulate makes, or
// as JSON. The action fails with ErrIndeterminate if no controller answers.
func surveyAction(tabulate func([]fleetclient.Probe) *table) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if _, err := arguments(command, 0, 0); err != nil {
			return err
		}
		targets, err := internalAddresses(command)
		if err != nil {
			return err
		}
		ctx, cancel := withTimeout(ctx, command)
		defer cancel()
		probes := fleetclient.Survey(ctx, targets)
		if err := printProbes(command, probes, tabulate); err != nil {
			return err
		}
		if !slices.ContainsFunc(probes, answered) {
			return eris.Wrap(fleetclient.ErrIndeterminate, "no controller answered")
		}
		return nil
	}
}

func printProbes(command *cli.Command, probes []fleetclient.Probe, tabulate func([]fleetclient.Probe) *table) error {
	if command.Bool(flagJSON) {
		return printJSON(command, lo.Map(probes, func(probe fleetclient.Probe, _ int) probeJSON { return newProbeJSON(probe) }))
	}
	return tabulate(probes).print(command.Root().Writer)
}

// probeJSON is the JSON form of a probe: either the error or the status is set.
type probeJSON struct {
	Address string
	Error   string                        `json:",omitempty"`
	Status  *fleetclient.ControllerStatus `json:",omitempty"`
}

func newProbeJSON(probe fleetclient.Probe) probeJSON {
	if probe.Err != nil {
		return probeJSON{Address: probe.Address, Error: singleLine(probe.Err)}
	}
	return probeJSON{Address: probe.Address, Status: &probe.Status}
}

// answered reports whether the controller replied with its status.
func answered(probe fleetclient.Probe) bool { return probe.Err == nil }

// singleLine returns the error's text with line breaks replaced by spaces.
func singleLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

func statusTable(probes []fleetclient.Probe) *table {
	rows := newTable("CONTROLLER", "NAME", "ZONE", "VERSION", "REVISION", "MAJORITY HEARD", "ROLES", "LIST", "WORKERS",
		"LIST AGE", "ROUTERS")
	for _, probe := range probes {
		if probe.Err != nil {
			rows.add(probe.Address, "unreachable: "+singleLine(probe.Err))
			continue
		}
		status := probe.Status
		list := lo.Ternary(status.List.Token == 0, "", formatList(status.List.Token, status.List.Sequence))
		rows.add(probe.Address, status.Member.Name, status.Member.Zone, status.Version, status.Revision, formatAge(status.QuorumAgeMs),
			strings.Join(status.Held, ","), list, status.Instances, formatAge(status.ListAgeMs), status.Routers)
	}
	return rows
}

func membersTable(probes []fleetclient.Probe) *table {
	rows := newTable("CONTROLLER", "NAME", "ZONE", "REGION", "ANSWERS", "TAKEN TO BE ALIVE BY", "REPLICA")
	for _, probe := range probes {
		member := probe.Status.Member
		observers := lo.FilterMap(probes, func(other fleetclient.Probe, _ int) (string, bool) {
			return other.Address, slices.Contains(other.Status.Live, probe.Address)
		})
		rows.add(probe.Address, member.Name, member.Zone, member.Region, yesNo(answered(probe)), strings.Join(observers, ","),
			yesNo(slices.Contains(newestStatus(probes).Replicas, probe.Address)))
	}
	return rows
}

func replicasTable(probes []fleetclient.Probe) *table {
	rows := newTable("REPLICA", "NAME", "ZONE", "ANSWERS", "REVISION", "BEHIND", "MAJORITY HEARD")
	latest := newestStatus(probes)
	for _, address := range latest.Replicas {
		probe, _ := lo.Find(probes, func(probe fleetclient.Probe) bool { return probe.Address == address })
		if probe.Address == "" || !answered(probe) {
			rows.add(address, "", "", yesNo(false), "", "", "")
			continue
		}
		status := probe.Status
		rows.add(address, status.Member.Name, status.Member.Zone, yesNo(true), status.Revision, latest.Revision-status.Revision,
			formatAge(status.QuorumAgeMs))
	}
	return rows
}

// newestStatus returns the status with the highest revision of the register among the controllers that answered.
func newestStatus(probes []fleetclient.Probe) fleetclient.ControllerStatus {
	var latest fleetclient.ControllerStatus
	for _, probe := range probes {
		if answered(probe) && probe.Status.Revision >= latest.Revision {
			latest = probe.Status
		}
	}
	return latest
}

// neverAgeMs is higher than any real age: an age of at least neverAgeMs stands for an event that has never happened.
const neverAgeMs = int64(24 * time.Hour / time.Millisecond)

// formatAge formats an age in milliseconds. It returns "never" for a negative age and from neverAgeMs on.
func formatAge(ms int64) string {
	if ms < 0 || ms >= neverAgeMs {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func yesNo(yes bool) string { return lo.Ternary(yes, "yes", "no") }
