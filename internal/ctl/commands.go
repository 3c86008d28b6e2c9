package ctl

import (
	"github.com/jessevdk/go-flags"
)

// commandEntry places one command in the tree.
type commandEntry struct {
	name    string
	summary string
	// help ends with examples.
	help    string
	command any
}

// newParser builds the tree of commands.
func newParser(env *environment) *flags.Parser {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operate bramblemast by its templates"
	parser.LongDescription = rootHelp
	mustAdd(parser.AddGroup("Options of every command", "", &env.options))
	addNoun(parser, "template", "Publish, compare and roll back templates", templateCommands(env))
	addNoun(parser, "experiment", "Compare policies on live traffic", experimentCommands(env))
	addNoun(parser, "node", "Show the nodes of the query tier", nodeCommands(env))
	addNoun(parser, "backend", "Show and drain back-end servers", backendCommands(env))
	addNoun(parser, "claim", "Show and remove claims of not-repeatable requests", claimCommands(env))
	addNoun(parser, "config", "Show where the configuration is in force", configCommands(env))
	addNoun(parser, "limit", "Show the limits of tenants and their use", limitCommands(env))
	addNoun(parser, "log", "Lead from a failed request to its cause", logCommands(env))
	return parser
}

// addNoun adds a noun with its verbs.
func addNoun(parser *flags.Parser, noun, summary string, entries []commandEntry) {
	parent := mustAdd(parser.AddCommand(noun, summary, summary+".", &struct{}{}))
	for _, entry := range entries {
		mustAdd(parent.AddCommand(entry.name, entry.summary, entry.summary+".\n\n"+entry.help, entry.command))
	}
}

// mustAdd panics on a fault in the tags of a command, which any run shows.
func mustAdd[Added any](added Added, err error) Added {
	if err != nil {
		panic(err)
	}
	return added
}

const rootHelp = `Operate bramblemast by its templates.

Exit codes: 0 done; 1 wrong command line, file or template; 2 conflict with another change; 3 unknown whether a change was accepted; 4 no node or no store reached; 5 refused by the node; 6 a status is not complete yet.

Examples:
bramblemastctl template validate examples/valgsok/*.yaml
bramblemastctl -a 10.0.0.5:8481 -a 10.0.1.5:8481 template publish tally.yaml
bramblemastctl config status -o json`

func templateCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"validate", "Check template files without any node", `Lists every fault of every file with the path of its field.

Examples:
bramblemastctl template validate tally.yaml leaders.yaml`, &templateValidate{env: env}},
		{"publish", "Publish a template from a file", `The change is accepted only if the template in force still has the expected revision: that of --expected-revision, else of the file's revision field, else none. On a conflict both sides are shown and nothing changes. If the reply is lost, the change is settled by its id.

Examples:
bramblemastctl template publish tally.yaml
bramblemastctl template publish tally.yaml --expected-revision 7 -m "longer grace"`, &templatePublish{env: env}},
		{"get", "Print the template in force", `The table output is a YAML file that can be edited and published again.

Examples:
bramblemastctl template get valgdata/tally > tally.yaml
bramblemastctl template get valgdata/tally -o json`, &templateGet{env: env}},
		{"list", "List the templates in force", `Examples:
bramblemastctl template list
bramblemastctl template list --tenant valgdata`, &templateList{env: env}},
		{"diff", "Compare a file or a revision with the one in force", `With --from, compares two revisions of a template; otherwise a file with what is in force.

Examples:
bramblemastctl template diff tally.yaml
bramblemastctl template diff valgdata/tally --from 3 --to 5`, &templateDiff{env: env}},
		{"history", "List the kept revisions of a template", `Examples:
bramblemastctl template history valgdata/tally`, &templateHistory{env: env}},
		{"rollback", "Publish an earlier revision again", `The earlier content becomes a new, higher revision.

Examples:
bramblemastctl template rollback valgdata/tally --to 3
bramblemastctl template rollback valgdata/tally --to 3 --expected-revision 5`, &templateRollback{env: env}},
		{"delete", "Delete a template", `A tombstone takes its place, so that no older revision comes back.

Examples:
bramblemastctl template delete valgdata/tally --expected-revision 5`, &templateDelete{env: env}},
	}
}

func experimentCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"start", "Split the traffic of a template over arms", `Publishes a new revision of the template with the experiment of the file (fields: name, arms).

Examples:
bramblemastctl experiment start valgdata/tally hedging.yaml`, &experimentStart{env: env}},
		{"status", "Show the experiment in force and its traffic", `Examples:
bramblemastctl experiment status valgdata/tally`, &experimentStatus{env: env}},
		{"stop", "End an experiment", `Publishes a new revision without the experiment. With --adopt, the policies of that arm become those of the template.

Examples:
bramblemastctl experiment stop valgdata/tally
bramblemastctl experiment stop valgdata/tally --adopt hedged`, &experimentStop{env: env}},
		{"compare", "Show the figures of all arms side by side", `The figures are added up over all nodes that answer, for the newest revision. Ratios are to the control arm.

Examples:
bramblemastctl experiment compare valgdata/tally
bramblemastctl experiment compare valgdata/tally -o json`, &experimentCompare{env: env}},
	}
}

func nodeCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"list", "List the nodes that a node knows", `Examples:
bramblemastctl node list`, &nodeList{env: env}},
	}
}

func backendCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"list", "List back-end servers", `Examples:
bramblemastctl backend list
bramblemastctl backend list --service resultatside`, &backendList{env: env}},
		{"drain", "Send a server no new work, at any node", `Examples:
bramblemastctl backend drain 10.0.3.7:9000`, &backendDrain{env: env, draining: true}},
		{"undrain", "End a drain", `Examples:
bramblemastctl backend undrain 10.0.3.7:9000`, &backendDrain{env: env}},
	}
}

func claimCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"list", "List the claims that are not done, oldest first", `A claim that stays in the state "sent" although its node is dead, or in the state "unknown", needs a look at the back end.

Examples:
bramblemastctl claim list
bramblemastctl claim list --tenant tinting --limit 20`, &claimList{env: env}},
		{"get", "Show the claim of one idempotency key", `Examples:
bramblemastctl claim get tinting order-4711`, &claimGet{env: env}},
		{"remove", "Give a key back after its request certainly did not run", `First make sure at the back end that the request did not run and is not running: once the key is free, a repeat of the caller is sent. Refused with exit code 2 if another claim holds the key, and with 5 if the request ran or its node may still send it.

Examples:
bramblemastctl claim remove tinting order-4711 --claim-id 0d9b7c1e-5f0c-4c63-9a57-3f6f0f0c8a11`, &claimRemove{env: env}},
	}
}

func configCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"status", "Show which revision is in force where", `Asks every node that the serving node knows. Exits with 6 while a node is behind or does not answer.

Examples:
bramblemastctl config status`, &configStatus{env: env}},
		{"settle", "Settle a change whose reply was lost", `Exits with 0 if the change was accepted, 6 if it certainly was not, 3 if it is still unknown.

Examples:
bramblemastctl config settle valgdata/tally 0b9df0c7-1f6d-4c8e-9d2e-5f0f4f1f2a11`, &configSettle{env: env}},
	}
}

func limitCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"list", "List tenants with their limits and use over all nodes", `Asks the nodes of a routed deployment that --metrics names and adds up what they say, the greatest limits first. Exits with 6 while a node of the deployment was not asked or did not answer.

Examples:
bramblemastctl limit list --metrics 10.0.0.5:9464 --metrics 10.0.1.5:9464
BRAMBLEMAST_METRICS=10.0.0.5:9464,10.0.1.5:9464 bramblemastctl limit list -o json`, &limitList{env: env}},
		{"show", "Show one tenant's limit, shares and refusals by node", `Exits with 5 if no node knows the tenant, and with 6 while a node of the deployment was not asked or did not answer.

Examples:
bramblemastctl limit show desk --metrics 10.0.0.5:9464 --metrics 10.0.1.5:9464`, &limitShow{env: env}},
	}
}

func logCommands(env *environment) []commandEntry {
	return []commandEntry{
		{"explain", "Tell one request's story over several nodes", `Reads log lines of nodes of a routed deployment from files or standard input.

Examples:
bramblemastctl log explain 9c41d07be2a35f68 node-*.log
journalctl -o cat -u bramblemast-edge | bramblemastctl log explain 9c41d07be2a35f68`, &logExplain{env: env}},
		{"summary", "Sum up why requests were not served whole", `Groups the requests of a span of time by cause and route, with the id of an example for "log explain".

Examples:
bramblemastctl log summary node-*.log
bramblemastctl log summary --from 2026-12-02T20:15:00Z --to 2026-12-02T20:16:00Z node-*.log`, &logSummary{env: env}},
	}
}
