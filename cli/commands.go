package cli

import flags "github.com/jessevdk/go-flags"

// declaration is a command as its help shows it.
type declaration struct {
	name, short, long string
	codes             []ExitCode
	data              any
}

func (a *app) declarations() []declaration {
	return []declaration{
		{
			"apply", "accept a manifest",
			"Sends a manifest to the first daemon that can be reached. What was accepted replaces the whole configuration; what is not declared any more ends. The same manifest again changes nothing. With --dry-run nothing is changed, and the differences to the manifest in force at that daemon are shown.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage, ExitConflict, ExitRefused, ExitUnknown, ExitNotMade, ExitIncomplete},
			&applyCommand{app: a},
		},
		{
			"validate", "check a manifest without a daemon",
			"Lists everything that is wrong with a manifest, each with its place. It is what a daemon checks, except for the cluster's name.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage, ExitRefused},
			&validateCommand{app: a},
		},
		{
			"status", "show daemons, shards and workers",
			"Shows each daemon named by --daemon as it sees itself, and with --workers the workers of its shards.",
			[]ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete},
			&statusCommand{app: a},
		},
		{
			"jobs", "show workloads with the state and reason of each",
			"Counts the tasks of each workload by state and by why they wait or ended. Name all daemons with --daemon: each knows the tasks of its own shards.",
			[]ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete},
			&jobsCommand{app: a},
		},
		{
			"cancel", "end workloads",
			"Ends all tasks of the named workloads. They stay ended while manifests declare them as they are; one that declares them otherwise starts them anew.",
			[]ExitCode{ExitOK, ExitUsage, ExitConflict, ExitRefused, ExitUnknown, ExitNotMade},
			&cancelCommand{app: a},
		},
		{
			"timeline", "show the events of all daemons in order",
			"Merges the events that the daemons named by --daemon hold in memory.",
			[]ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete},
			&timelineCommand{app: a},
		},
		{
			"drain", "stop one daemon in the planned way",
			"Asks one daemon to stop: readiness is withdrawn, requests in flight end, shards are handed over, and the process exits with code 0. The command returns when the stop has begun.",
			[]ExitCode{ExitOK, ExitUsage, ExitUnknown, ExitNotMade},
			&drainCommand{app: a},
		},
		{
			"standin", "run a stand-in platform for trials",
			"Runs a store, a list of VMs and workers on this machine until interrupted, and prints the settings that daemons reach them with. Nothing is kept.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage},
			&standinCommand{app: a},
		},
		{
			"demo", "run a whole deployment on stand-ins",
			"Runs stand-ins, three daemons and callers in this process, kills one daemon, drains another, and reports what was lost, doubled or overcommitted.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage},
			&demoCommand{app: a},
		},
	}
}

func (a *app) addCommands(parser *flags.Parser) {
	for _, d := range a.declarations() {
		long := d.long + "\n\n" + exitHelp(d.codes)
		if _, err := parser.AddCommand(d.name, d.short, long, d.data); err != nil {
			panic(err)
		}
	}
}
