package cli

import flags "github.com/jessevdk/go-flags"

// declaration is a command as its help shows it.
type declaration struct {
	name, short, long string
	codes             []ExitCode
	data              any
	// group holds the commands below this one.
	group []declaration
}

func (a *app) declarations() []declaration {
	return []declaration{
		{
			"apply", "accept a manifest",
			"Sends a manifest to the first daemon that can be reached. What was accepted replaces the whole configuration; what is not declared any more ends. The same manifest again changes nothing. With --dry-run nothing is changed, and the differences to the manifest in force at that daemon are shown.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage, ExitConflict, ExitRefused, ExitUnknown, ExitNotMade, ExitIncomplete},
			&applyCommand{app: a}, nil,
		},
		{
			"validate", "check a manifest without a daemon",
			"Lists everything that is wrong with a manifest, each with its place. It is what a daemon checks, except for the cluster's name.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage, ExitRefused},
			&validateCommand{app: a}, nil,
		},
		{
			"status", "show daemons, shards and workers",
			"Shows each daemon named by --daemon as it sees itself, and with --workers the workers of its shards.",
			[]ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete},
			&statusCommand{app: a}, nil,
		},
		{
			"jobs", "show workloads with the state and reason of each",
			"Counts the tasks of each workload by state and by why they wait or ended. Name all daemons with --daemon: each knows the tasks of its own shards.",
			[]ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete},
			&jobsCommand{app: a}, nil,
		},
		{
			"cancel", "end workloads",
			"Ends all tasks of the named workloads. They stay ended while manifests declare them as they are; one that declares them otherwise starts them anew.",
			[]ExitCode{ExitOK, ExitUsage, ExitConflict, ExitRefused, ExitUnknown, ExitNotMade},
			&cancelCommand{app: a}, nil,
		},
		{
			"timeline", "show the events of all daemons in order",
			"Merges the events that the daemons named by --daemon hold in memory.",
			[]ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete},
			&timelineCommand{app: a}, nil,
		},
		{
			"drain", "stop one daemon in the planned way",
			"Asks one daemon to stop: readiness is withdrawn, requests in flight end, shards are handed over, and the process exits with code 0. The command returns when the stop has begun.",
			[]ExitCode{ExitOK, ExitUsage, ExitUnknown, ExitNotMade},
			&drainCommand{app: a}, nil,
		},
		{
			"standin", "run a stand-in platform for trials",
			"Runs a store, a list of VMs and workers on this machine until interrupted, and prints the settings that daemons reach them with. Nothing is kept.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage},
			&standinCommand{app: a}, nil,
		},
		{
			"demo", "run a whole deployment on stand-ins",
			"Runs stand-ins, three daemons and callers in this process, kills one daemon, drains another, and reports what was lost, doubled or overcommitted.",
			[]ExitCode{ExitOK, ExitFailed, ExitUsage},
			&demoCommand{app: a}, nil,
		},
		{
			name: "job", short: "submit and explain jobs (see job --help)",
			long: "Commands about the jobs that callers submit. Their --daemon is the address of a daemon's interface for jobs.",
			data: &jobGroup{}, group: a.jobDeclarations(),
		},
	}
}

func (a *app) addCommands(parser *flags.Parser) {
	addTo(parser.Command, a.declarations())
}

func addTo(parent *flags.Command, declarations []declaration) {
	for _, d := range declarations {
		long := d.long
		if len(d.codes) > 0 {
			long += "\n\n" + exitHelp(d.codes)
		}
		command, err := parent.AddCommand(d.name, d.short, long, d.data)
		if err != nil {
			panic(err)
		}
		addTo(command, d.group)
	}
}

// jobDeclarations are the commands below "job".
func (a *app) jobDeclarations() []declaration {
	changes := []ExitCode{ExitOK, ExitUsage, ExitRefused, ExitUnknown, ExitNotMade}
	looks := []ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete}
	return []declaration{
		{
			name: "submit", short: "submit a job",
			long:  "Submits the job that a JSON file declares to the first daemon that accepts it. Repeated with the same id it changes nothing.",
			codes: changes, data: &jobSubmitCommand{app: a},
		},
		{
			name: "state", short: "tell a job's state",
			long:  "Asks the daemons in turn for what a job has come to.",
			codes: changes, data: &jobStateCommand{app: a},
		},
		{
			name: "cancel", short: "cancel a job",
			long:  "Ends a job that is not over. Its tasks are stopped.",
			codes: changes, data: &jobCancelCommand{app: a},
		},
		{
			name: "queue", short: "count the jobs of a queue that wait",
			long:  "Counts the jobs of a queue none of whose tasks has started.",
			codes: changes, data: &jobQueueCommand{app: a},
		},
		{
			name: "list", short: "list jobs",
			long:  "Lists the jobs that are not over, as the leader sees them, or with --log every job that saved logs name.",
			codes: changes, data: &jobListCommand{app: a},
		},
		{
			name: "explain", short: "say what became of a job, and why",
			long:  "Says why a job was refused, waits, failed or ended, who decided it and from what, from the lines in the daemons' memory or in saved logs. Name all daemons with --daemon: each knows its own decisions.",
			codes: looks, data: &jobExplainCommand{app: a},
		},
		{
			name: "timeline", short: "show the log lines of all daemons in order",
			long:  "Shows what daemons came to believe of each other, the store, the workers and the configuration, or with --job the lines about one job.",
			codes: looks, data: &jobTimelineCommand{app: a},
		},
		{
			name: "status", short: "show the daemons that serve jobs",
			long:  "Shows each daemon named by --daemon as it sees itself, or with --log as its lines end.",
			codes: looks, data: &jobStatusCommand{app: a},
		},
	}
}
