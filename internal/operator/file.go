// Package operator holds what an operator may set for this program, beside the deployment's configuration:
// the operator file, in TOML. Every key has a default, and deploy/operator.toml shows them all.
//
// A further table is a struct type with tagged fields, a field for it in File, its defaults in Default and
// its lines in deploy/operator.toml; reading, checking and the errors follow from the tags.
package operator

// File is what the operator file holds. A key has the name of its toml tag and must lie between min and max.
type File struct {
	Answers Answers `toml:"answers"`
	Log     Log     `toml:"log"`
	Storm   Storm   `toml:"storm"`
	GraphQL GraphQL `toml:"graphql"`
	State   State   `toml:"state"`
	Fleet   Fleet   `toml:"fleet"`
}

// Answers is the table for the bodies of answers and requests.
type Answers struct {
	// LongestKB is how many KiB a booking server's answer may have: what is longer, or is said to be, is spoilt.
	LongestKB int64 `toml:"longest_kb" min:"64" max:"1048576"`
	// WholeKB is up to how many KiB an answer is held until it has come whole; zero: 64.
	WholeKB int64 `toml:"whole_kb" min:"0" max:"65536"`
	// HoldMS is how many milliseconds after its first byte an answer is passed on at the latest that is not
	// known to be as short as whole_kb.
	HoldMS int64 `toml:"hold_ms" min:"0" max:"60000"`
	// MemoryShare is the part of limits.memory_mb that all bodies together may occupy.
	MemoryShare float64 `toml:"memory_share" min:"0.02" max:"0.5"`
	// StallMS is after how many milliseconds a client that takes nothing of its answer is cut off.
	StallMS int64 `toml:"stall_ms" min:"100" max:"60000"`
	// LagMS is how many milliseconds longer than the booking server itself needed a client may hold up its
	// connection.
	LagMS int64 `toml:"lag_ms" min:"0" max:"60000"`
}

// State is the table for what is kept over a restart.
type State struct {
	// Folder is where it is kept, one for each agent, on a disk that lasts; empty: nothing is kept.
	Folder string `toml:"folder"`
	// Deployment is what the files say that they are of; empty: the names of the classes.
	Deployment string `toml:"deployment"`
	// PeriodS is after how many seconds what is known is written again.
	PeriodS int64 `toml:"period_s" min:"1" max:"3600"`
	// WritesAMinute is how many writes there may be, however much changes.
	WritesAMinute int64 `toml:"writes_a_minute" min:"1" max:"60"`
	// ProveList has the servers of a list that discovery has not confirmed since the start tried in small
	// shares.
	ProveList bool `toml:"prove_list"`
	// DeployS is how many seconds a full deploy takes: a list as old as that is all suspicion.
	DeployS int64 `toml:"deploy_s" min:"1" max:"86400"`
}

// Storm is the table for slow spells, outages and storms of repeats.
type Storm struct {
	// On has the agent see and damp them.
	On bool `toml:"on"`
	// RateLimitFields has refusals carry RateLimit and RateLimit-Policy.
	RateLimitFields bool `toml:"rate_limit_fields"`
	// SpellFactor is how many times the usual work must take at every server at once, to be a slow spell.
	SpellFactor float64 `toml:"spell_factor" min:"1.2" max:"100"`
	// PurgeShare is the part of what the servers carry that a purge lets through.
	PurgeShare float64 `toml:"purge_share" min:"0.05" max:"1"`
	// PurgeMS is how many milliseconds a purge lasts at most.
	PurgeMS int64 `toml:"purge_ms" min:"500" max:"60000"`
	// PurgeLeastMS is how many milliseconds servers must rest at least for a spell to end.
	PurgeLeastMS int64 `toml:"purge_least_ms" min:"100" max:"60000"`
	// PurgeAgainS is for how many seconds a spell that was purged in vain is left alone, twice as long each
	// time.
	PurgeAgainS int64 `toml:"purge_again_s" min:"1" max:"3600"`
	// PurgeSparse has agents of a large fleet that send little each purge slow spells as well.
	PurgeSparse bool `toml:"purge_sparse"`
	// TrialShare is how many requests go on for each first try while nothing is served.
	TrialShare float64 `toml:"trial_share" min:"0.001" max:"0.5"`
	// ReturnMore is how many times the usual may be in flight while what was down comes back.
	ReturnMore float64 `toml:"return_more" min:"0.5" max:"10"`
	// InVain is the part of its attempts in vain at which an agent of a large fleet lets in hardly more than
	// what is answered; from 1 on it lets all in.
	InVain float64 `toml:"in_vain" min:"0.05" max:"1"`
	// TurnS is in how many seconds every key moves once through the order in which requests are let in.
	TurnS int64 `toml:"turn_s" min:"1" max:"3600"`
}

// Default is what holds without a file, and for every key that a file does not have.
func Default() File {
	return File{
		Answers: Answers{LongestKB: 65536, HoldMS: 50, MemoryShare: 0.125, StallMS: 10000, LagMS: 5000},
		Log:     Log{Format: Text, Level: "info"}, GraphQL: defaultGraphQL(),
		Fleet: defaultFleet(), State: State{PeriodS: 10, WritesAMinute: 12, DeployS: 900},
		Storm: Storm{
			On: true, SpellFactor: 1.65, PurgeShare: 0.5, PurgeMS: 3800, PurgeLeastMS: 2000,
			PurgeAgainS: 30, TrialShare: 0.1, ReturnMore: 1.25, InVain: 0.25, TurnS: 60,
		},
	}
}

// check tells what is wrong between keys that are right by themselves.
func (a Answers) check() (key, problem string) {
	if a.WholeKB > a.LongestKB {
		return "whole_kb", "must not be above longest_kb"
	}
	return "", ""
}

// check tells what is wrong between keys that are right by themselves.
func (s State) check() (key, problem string) {
	if s.PeriodS*s.WritesAMinute < 60 {
		return "writes_a_minute", "must allow for one write each period_s"
	}
	return "", ""
}

// check tells what is wrong between keys that are right by themselves.
func (s Storm) check() (key, problem string) {
	if s.PurgeLeastMS > s.PurgeMS {
		return "purge_least_ms", "must not be above purge_ms"
	}
	return "", ""
}
