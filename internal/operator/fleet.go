package operator

import "slices"

// Fleet is the table for what the agents of a fleet agree on.
type Fleet struct {
	// On has the agent take part.
	On bool `toml:"on"`
	// Voters are the numbers, as in the settings, of the agents that keep the log: 1, 3, 5 or 7 of them.
	// The same at all agents.
	Voters []int64 `toml:"voters" min:"0" max:"9999"`
	// Policy has policies that are proposed to the fleet hold here. The same at all agents.
	Policy bool `toml:"policy"`
	// Folder is where a voter keeps its part of the log, on a disk that lasts; empty: it keeps nothing,
	// and comes back as a new voter.
	Folder string `toml:"folder"`
	// LeaseMS is how many milliseconds a lease lasts from when it was asked for, HeardMS how old what a
	// voter knows may be as it grants one. The same at all agents: their sum is after how long nobody
	// acts on what was before.
	LeaseMS int64 `toml:"lease_ms" min:"500" max:"60000"`
	HeardMS int64 `toml:"heard_ms" min:"500" max:"10000"`
	// ReadyMS is how many milliseconds a process that starts asks others for what was agreed before it
	// says that it is ready all the same.
	ReadyMS int64 `toml:"ready_ms" min:"0" max:"10000"`
	// HereCold, HereShares and HereStorm have this agent divide by how many agents are there, where it divided
	// by the number in the settings, for the trials of servers that are down, the tenants' shares, and what is
	// sent in an outage. Never by less than two thirds of that number.
	HereCold   bool `toml:"here_cold"`
	HereShares bool `toml:"here_shares"`
	HereStorm  bool `toml:"here_storm"`
	// RateKB is how many KiB a second this agent sends to others at the most.
	RateKB int64 `toml:"rate_kb" min:"4" max:"8192"`
	// FloorS is for how many seconds an agent that lost its lease goes by the floor of the policy that it
	// knows, before it goes by what none can forbid. The same at all agents, as are the keys below.
	FloorS int64 `toml:"floor_s" min:"1" max:"86400"`
	// Windows has maintenance windows that the fleet accepts hold here.
	Windows bool `toml:"windows"`
	// Placement has servers take part in the ring by agreed generations. The same at all agents.
	Placement bool `toml:"placement"`
	// Paces has agents tell how quick they find the kinds of booking servers, and servers take part by that
	// beside their agreed capacity. The same at all agents.
	Paces bool `toml:"paces"`
	// NoticeS is how many seconds before it begins a window has to be asked for at the least: an agent that
	// does not know of one that has begun is on the floor no more by then.
	NoticeS int64 `toml:"notice_s" min:"2" max:"604800"`
	// MarginS is how many seconds windows keep from the edges of the hours that contracts allow, for clocks
	// that are off, and how long a server has been left alone before it may be said to be free.
	MarginS int64 `toml:"margin_s" min:"1" max:"600"`
	// LingerS is how many seconds a request may still be on its way, from where a server was last chosen.
	LingerS int64 `toml:"linger_s" min:"1" max:"3600"`
	// Turns is in how many turns servers are parted, one a day: an agent that can't know of windows any
	// more keeps off those whose turn it is, and windows are for those only. 0: off.
	Turns int64 `toml:"turns" min:"0" max:"31"`
}

// clocksMS is for machines' clocks that differ, and run differently fast, in what has to outlast a lease.
const clocksMS = 1000

func defaultFleet() Fleet {
	return Fleet{
		Voters: []int64{}, LeaseMS: 4000, HeardMS: 1000, ReadyMS: 2000, RateKB: 128,
		FloorS: 900, NoticeS: 1200, MarginS: 10, LingerS: 30, Turns: 4,
	}
}

// check tells what is wrong between keys that are right by themselves.
func (f Fleet) check() (key, problem string) {
	for i, v := range f.Voters {
		if slices.Contains(f.Voters[:i], v) {
			return "voters", "must name each agent once"
		}
	}
	switch n := len(f.Voters); {
	case n > 7 || n > 0 && n%2 == 0:
		return "voters", "must be 1, 3, 5 or 7"
	case f.On && n == 0:
		return "voters", "must be named where on is true"
	case f.Windows && !f.Policy:
		return "windows", "needs policy = true: the contracts are in the policy"
	case f.Placement && !f.Policy:
		return "placement", "needs policy = true: servers' capacities are in the policy"
	case f.Paces && !f.Placement:
		return "paces", "needs placement = true: it changes servers' parts in the ring"
	case f.Windows && f.NoticeS*1000 <= f.FloorS*1000+f.LeaseMS+f.HeardMS+clocksMS:
		return "notice_s", "must be above floor_s, lease_ms and heard_ms together, with a second for the clocks"
	}
	return "", ""
}
