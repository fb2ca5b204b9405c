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
		Action: withSurvey(statusTable),
	}
}

func membersCommand() *cli.Command {
	return &cli.Command{
		Name:   "members",
		Usage:  "show the controllers and who takes them to be alive",
		Action: withSurvey(membersTable),
	}
}

func replicasCommand() *cli.Command {
	return &cli.Command{
		Name:   "replicas",
		Usage:  "show the replicas of the register",
		Action: withSurvey(replicasTable),
	}
}

// withSurvey returns the action that asks the controllers and prints a table of their answers. It fails if none answers.
func withSurvey(tabulate func([]fleetclient.Probe) *table) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if _, err := arguments(command, 0, 0); err != nil {
			return err
		}
		known, err := internals(command)
		if err != nil {
			return err
		}
		ctx, cancel := withTimeout(ctx, command)
		defer cancel()
		probes := fleetclient.Survey(ctx, known)
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
		return printJSON(command, lo.Map(probes, func(probe fleetclient.Probe, _ int) probeLine { return lineOf(probe) }))
	}
	return tabulate(probes).print(command.Root().Writer)
}

// probeLine is a probe as it is printed in JSON.
type probeLine struct {
	Address string
	Error   string                        `json:",omitempty"`
	Status  *fleetclient.ControllerStatus `json:",omitempty"`
}

func lineOf(probe fleetclient.Probe) probeLine {
	if probe.Err != nil {
		return probeLine{Address: probe.Address, Error: plain(probe.Err)}
	}
	return probeLine{Address: probe.Address, Status: &probe.Status}
}

func answered(probe fleetclient.Probe) bool { return probe.Err == nil }

// plain returns an error in one line.
func plain(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

func statusTable(probes []fleetclient.Probe) *table {
	rows := newTable("CONTROLLER", "NAME", "ZONE", "VERSION", "REVISION", "MAJORITY HEARD", "ROLES", "LIST", "WORKERS",
		"LIST AGE", "ROUTERS")
	for _, probe := range probes {
		if probe.Err != nil {
			rows.add(probe.Address, "unreachable: "+plain(probe.Err))
			continue
		}
		status := probe.Status
		list := lo.Ternary(status.List.Token == 0, "", formatList(status.List.Token, status.List.Sequence))
		rows.add(probe.Address, status.Member.Name, status.Member.Zone, status.Version, status.Revision, ago(status.QuorumAgeMs),
			strings.Join(status.Held, ","), list, status.Instances, ago(status.ListAgeMs), status.Routers)
	}
	return rows
}

func membersTable(probes []fleetclient.Probe) *table {
	rows := newTable("CONTROLLER", "NAME", "ZONE", "REGION", "ANSWERS", "TAKEN TO BE ALIVE BY", "REPLICA")
	for _, probe := range probes {
		member := probe.Status.Member
		believers := lo.FilterMap(probes, func(other fleetclient.Probe, _ int) (string, bool) {
			return other.Address, slices.Contains(other.Status.Live, probe.Address)
		})
		rows.add(probe.Address, member.Name, member.Zone, member.Region, yesNo(answered(probe)), strings.Join(believers, ","),
			yesNo(slices.Contains(newest(probes).Replicas, probe.Address)))
	}
	return rows
}

func replicasTable(probes []fleetclient.Probe) *table {
	rows := newTable("REPLICA", "NAME", "ZONE", "ANSWERS", "REVISION", "BEHIND", "MAJORITY HEARD")
	latest := newest(probes)
	for _, address := range latest.Replicas {
		probe, _ := lo.Find(probes, func(probe fleetclient.Probe) bool { return probe.Address == address })
		if probe.Address == "" || !answered(probe) {
			rows.add(address, "", "", yesNo(false), "", "", "")
			continue
		}
		status := probe.Status
		rows.add(address, status.Member.Name, status.Member.Zone, yesNo(true), status.Revision, latest.Revision-status.Revision,
			ago(status.QuorumAgeMs))
	}
	return rows
}

// newest returns the status with the newest revision of the register.
func newest(probes []fleetclient.Probe) fleetclient.ControllerStatus {
	var latest fleetclient.ControllerStatus
	for _, probe := range probes {
		if answered(probe) && probe.Status.Revision >= latest.Revision {
			latest = probe.Status
		}
	}
	return latest
}

// neverMs is beyond any age: such a one stands for what has never happened.
const neverMs = int64(24 * time.Hour / time.Millisecond)

func ago(ms int64) string {
	if ms < 0 || ms >= neverMs {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func yesNo(yes bool) string { return lo.Ternary(yes, "yes", "no") }
