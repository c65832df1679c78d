package cli

import flags "github.com/jessevdk/go-flags"

// declaration declares a command: its name, its help texts, the exit codes that
// its help lists, and the struct that receives its options.
type declaration struct {
	name, short, long string
	codes             []ExitCode
	data              any
	// group holds the subcommands.
	group []declaration
}

// Exit codes shared by several commands.
var (
	// queryCodes are the exit codes of commands that query all daemons.
	queryCodes = []ExitCode{ExitOK, ExitUsage, ExitNotMade, ExitIncomplete}
	// standInCodes are the exit codes of commands that run stand-ins.
	standInCodes = []ExitCode{ExitOK, ExitFailed, ExitUsage}
	// jobCallCodes are the exit codes of commands that call the daemons' interface
	// for jobs until one daemon responds.
	jobCallCodes = []ExitCode{ExitOK, ExitUsage, ExitRefused, ExitUnknown, ExitNotMade}
)

// declarations returns the top-level commands, in the order of the help.
func (a *app) declarations() []declaration {
	return []declaration{
		{
			name: "apply", short: "accept a manifest",
			long:  "Sends a manifest to the first daemon that can be reached. What was accepted replaces the whole configuration; what is not declared any more ends. The same manifest again changes nothing. With --dry-run nothing is changed, and the differences to the manifest in force at that daemon are shown.",
			codes: []ExitCode{ExitOK, ExitFailed, ExitUsage, ExitConflict, ExitRefused, ExitUnknown, ExitNotMade, ExitIncomplete}, data: &applyCommand{app: a},
		},
		{
			name: "validate", short: "check a manifest without a daemon",
			long:  "Lists everything that is wrong with a manifest, each with its place. It is what a daemon checks, except for the cluster's name.",
			codes: []ExitCode{ExitOK, ExitFailed, ExitUsage, ExitRefused}, data: &validateCommand{app: a},
		},
		{
			name: "status", short: "show daemons, shards and workers",
			long:  "Shows each daemon named by --daemon as it sees itself, and with --workers the workers of its shards.",
			codes: queryCodes, data: &statusCommand{app: a},
		},
		{
			name: "jobs", short: "show workloads with the state and reason of each",
			long:  "Counts the tasks of each workload by state and by why they wait or ended. Name all daemons with --daemon: each knows the tasks of its own shards.",
			codes: queryCodes, data: &jobsCommand{app: a},
		},
		{
			name: "cancel", short: "end workloads",
			long:  "Ends all tasks of the named workloads. They stay ended while manifests declare them as they are; one that declares them otherwise starts them anew.",
			codes: []ExitCode{ExitOK, ExitUsage, ExitConflict, ExitRefused, ExitUnknown, ExitNotMade}, data: &cancelCommand{app: a},
		},
		{
			name: "timeline", short: "show the events of all daemons in order",
			long:  "Merges the events that the daemons named by --daemon hold in memory.",
			codes: queryCodes, data: &timelineCommand{app: a},
		},
		{
			name: "drain", short: "stop one daemon in the planned way",
			long:  "Asks one daemon to stop: readiness is withdrawn, requests in flight end, shards are handed over, and the process exits with code 0. The command returns when the stop has begun.",
			codes: []ExitCode{ExitOK, ExitUsage, ExitUnknown, ExitNotMade}, data: &drainCommand{app: a},
		},
		{
			name: "cordon", short: "close an availability zone to new tasks, or list those that are",
			long:  "Keeps new tasks off the workers of a zone until uncordon; what runs there runs on. Without a zone it lists the cordons that each daemon named by --daemon goes by; one that owns no shard reads none.",
			codes: []ExitCode{ExitOK, ExitUsage, ExitUnknown, ExitNotMade, ExitIncomplete}, data: &cordonCommand{app: a},
		},
		{
			name: "uncordon", short: "open an availability zone again",
			long:  "Lifts the cordon of a zone. A zone that has none stays as it is.",
			codes: []ExitCode{ExitOK, ExitUsage, ExitUnknown, ExitNotMade}, data: &uncordonCommand{app: a},
		},
		{
			name: "standin", short: "run a stand-in platform for trials",
			long:  "Runs a store, a list of VMs and workers on this machine until interrupted, and prints the settings that daemons reach them with. Nothing is kept.",
			codes: standInCodes, data: &standinCommand{app: a},
		},
		{
			name: "demo", short: "run a whole deployment on stand-ins",
			long:  "Runs stand-ins, three daemons and callers in this process, kills one daemon, drains another, and reports what was lost, doubled or overcommitted.",
			codes: standInCodes, data: &demoCommand{app: a},
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

// jobDeclarations returns the subcommands of "job", in the order of the help.
func (a *app) jobDeclarations() []declaration {
	return []declaration{
		{
			name: "submit", short: "submit a job",
			long:  "Submits the job that a JSON file declares to the first daemon that accepts it. Repeated with the same id it changes nothing.",
			codes: jobCallCodes, data: &jobSubmitCommand{app: a},
		},
		{
			name: "state", short: "tell a job's state",
			long:  "Asks the daemons in turn for what a job has come to.",
			codes: jobCallCodes, data: &jobStateCommand{app: a},
		},
		{
			name: "cancel", short: "cancel a job",
			long:  "Ends a job that is not over. Its tasks are stopped.",
			codes: jobCallCodes, data: &jobCancelCommand{app: a},
		},
		{
			name: "queue", short: "count the jobs of a queue that wait",
			long:  "Counts the jobs of a queue none of whose tasks has started.",
			codes: jobCallCodes, data: &jobQueueCommand{app: a},
		},
		{
			name: "list", short: "list jobs",
			long:  "Lists the jobs that are not over, as the leader sees them, or with --log every job that saved logs name.",
			codes: jobCallCodes, data: &jobListCommand{app: a},
		},
		{
			name: "explain", short: "say what became of a job, and why",
			long:  "Says why a job was refused, waits, failed or ended, who decided it and from what, from the lines in the daemons' memory or in saved logs. Name all daemons with --daemon: each knows its own decisions.",
			codes: queryCodes, data: &jobExplainCommand{app: a},
		},
		{
			name: "timeline", short: "show the log lines of all daemons in order",
			long:  "Shows what daemons came to believe of each other, the store, the workers and the configuration, or with --job the lines about one job.",
			codes: queryCodes, data: &jobTimelineCommand{app: a},
		},
		{
			name: "status", short: "show the daemons that serve jobs",
			long:  "Shows each daemon named by --daemon as it sees itself, or with --log as its lines end.",
			codes: queryCodes, data: &jobStatusCommand{app: a},
		},
	}
}
