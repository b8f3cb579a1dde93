// Package scenario holds what a rehearsed day is made of: the deployment's settings, its machines, agents,
// clients, discovery and network, the load, and the troubles that come over them. A scenario is a TOML file;
// Load reads it strictly and tells all that is wrong with it at once, with line and column.
package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// Span is a figure of which a day draws one value, evenly between Low and High. In a file it is a number, or
// an array of the least and the most.
type Span struct{ Low, High float64 }

// Draw draws a value.
func (s Span) Draw(r *rand.Rand) float64 { return s.Low + (s.High-s.Low)*r.Float64() }

// Mean is the middle of the span.
func (s Span) Mean() float64 { return (s.Low + s.High) / 2 }

// TimeSpan is a time of which a day draws one value, written like a Span in the unit that the key ends with.
type TimeSpan struct{ Low, High time.Duration }

// Draw draws a time.
func (s TimeSpan) Draw(r *rand.Rand) time.Duration {
	return s.Low + time.Duration(float64(s.High-s.Low)*r.Float64())
}

// Scenario is a day to rehearse. All figures have been checked when Load returns it.
type Scenario struct {
	Schema int    `toml:"schema,need" range:"1..1"`
	Name   string `toml:"name,need"`
	About  string `toml:"about"`
	// Service below this fails the rehearsal.
	Floor float64 `toml:"floor,need" range:"0..1"`
	// That the day is played with where the command names none.
	Seed        uint64      `toml:"seed" default:"1"`
	Day         Day         `toml:"day,need"`
	Load        Traffic     `toml:"load,need"`
	Agents      Agents      `toml:"agents,need"`
	Fleet       Fleet       `toml:"fleet,need"`
	Kinds       []Kind      `toml:"kind,need"`
	Classes     []Class     `toml:"class,need"`
	Tenants     []Tenant    `toml:"tenant"`
	Clients     Clients     `toml:"clients"`
	Connections Connections `toml:"connections"`
	Affinity    Affinity    `toml:"affinity"`
	Discovery   Discovery   `toml:"discovery"`
	Network     Network     `toml:"network"`
	Allow       Allow       `toml:"allow"`
	Rules       Rules       `toml:"rules"`
	Goal        Goal        `toml:"goal"`
	Prices      Prices      `toml:"prices"`
	Gate        Gate        `toml:"gate"`
	Troubles    []Trouble   `toml:"trouble"`
}

// Day is how long the arrivals last. The day then runs on until all is answered.
type Day struct {
	Length time.Duration `toml:"length_s,need" range:"1..86400"`
	// Service counts for first tries from here on.
	From time.Duration `toml:"from_s" range:"0..3600" default:"1"`
}

// Shape is the course of the traffic over the day.
type Shape string

// The shapes: even, rising in a straight line through the day, or one wave over it; the mean is always the
// load's.
const (
	Steady Shape = "steady"
	Ramp   Shape = "ramp"
	Wave   Shape = "wave"
)

// Arrivals says how first tries follow one another.
type Arrivals string

// The arrivals: independent, or in bursts.
const (
	Poisson Arrivals = "poisson"
	Bursty  Arrivals = "bursty"
)

// Traffic is the first tries: drawn ahead, they don't wait for answers. Exactly one of PerS and OfCapacity is
// given.
type Traffic struct {
	// First tries a second, a mean over the day.
	PerS Span `toml:"per_s" range:"0..1000000"`
	// The same, as work over what the warm fleet can do.
	OfCapacity Span  `toml:"of_capacity" range:"0..20"`
	Shape      Shape `toml:"shape" oneof:"steady,ramp,wave" default:"'steady'"`
	// Of ramp and wave: the largest departure from the mean.
	Swing    Span     `toml:"swing" range:"0..1" default:"[0.17, 0.38]"`
	Arrivals Arrivals `toml:"arrivals" oneof:"poisson,bursty" default:"'poisson'"`
	// First tries in a burst.
	BurstMean float64 `toml:"burst_mean" range:"1..10000" default:"20"`
	// In which a burst's first tries come.
	BurstSpan time.Duration `toml:"burst_ms" range:"1..60000" default:"200"`
	// Distinct keys, rounded; 0: requests have none.
	Keys Span `toml:"keys" range:"0..10000000" default:"[430, 1200]"`
	// Exponent of the keys' popularity.
	KeyZipf Span `toml:"key_zipf" range:"0..5" default:"[0.57, 0.93]"`
	// QuotaOfCapacity or QuotaPerS: what all tenants' shares together come to, in first tries a second.
	QuotaOfCapacity Span `toml:"quota_of_capacity" range:"0..20"`
	QuotaPerS       Span `toml:"quota_per_s" range:"0..1000000"`
	// Of the usual worth, beyond a tenant's share.
	OverShareWorth float64 `toml:"over_share_worth" range:"0..1" default:"0.05"`
}

// Agents are the agents, each beside one copy of the application.
type Agents struct {
	Count int `toml:"count,need" range:"1..20000"`
	// Exponent of their parts of the traffic; 0: alike.
	Zipf Span `toml:"zipf" range:"0..5" default:"[0.5, 1]"`
	// 0: evenly over the zones, 1: all in the first.
	ZoneSkew Span `toml:"zone_skew" range:"0..1" default:"[0.05, 0.3]"`
	// The shortest gap between the module's steps.
	Tick    time.Duration `toml:"tick_ms" range:"0.1..100" default:"5"`
	Sockets int           `toml:"sockets" range:"64..1000000" default:"1024"`
	// What a live rehearsal gives each agent beside.
	MemoryMB int     `toml:"memory_mb" range:"32..65536" default:"192"`
	Cores    float64 `toml:"cores" range:"0.1..64" default:"1"`
	// From a killed agent's start until it is ready.
	BackIn time.Duration `toml:"back_in_ms" range:"0..60000" default:"300"`
	// After which an agent writes what it has learned to a disk that outlives it, which takes so long; 0: never.
	KeepEvery time.Duration `toml:"keep_every_s" range:"0..3600"`
	KeepTakes time.Duration `toml:"keep_takes_ms" range:"0..60000" default:"20"`
	// An agent tries the servers of a list that discovery has not confirmed since its start in small shares
	// first.
	ProvesList bool `toml:"proves_list"`
	// Agents place by generations of the ring that they agree on. Not in live days.
	Placed bool `toml:"placed"`
	// How long a full deploy takes: a list as old as that is all suspicion.
	DeployTakes time.Duration `toml:"deploy_takes_s" range:"1..86400" default:"900"`
}

// Fleet is how many booking servers there are and how they lie in the zones.
type Fleet struct {
	Servers int `toml:"servers,need" range:"1..5000"`
	// 0: evenly over the zones, 1: all in the first.
	ZoneSkew Span `toml:"zone_skew" range:"0..1" default:"[0, 0.2]"`
	CellSize int  `toml:"cell_size" range:"1..5000" default:"4"`
	// Weights says what the list tells of a server's size: nothing (1 for all), its size, or roughly its size.
	Weights string `toml:"weights" oneof:"none,nominal,rough" default:"'rough'"`
}

// Kind is a kind of machine. Spans are drawn for each server.
type Kind struct {
	Name string `toml:"name,need"`
	// Of the fleet; all kinds' shares add up to 1.
	Share float64 `toml:"share,need" range:"0..1"`
	Cores int     `toml:"cores,need" range:"1..1024"`
	// Of a core: standard work done in a unit of time.
	Speed        Span `toml:"speed,need" range:"0.01..100"`
	SlotsPerCore Span `toml:"slots_per_core" range:"1..10000" default:"[4, 12]"`
	QueuePerCore Span `toml:"queue_per_core" range:"0..100000" default:"[18, 30]"`
	// Connections that it accepts.
	ConnsPerCore Span `toml:"conns_per_core" range:"1..100000" default:"[140, 170]"`
	// Speed lost for each request a core holds beyond ThrashAt, as a share.
	Thrash Span `toml:"thrash" range:"0..10" default:"[0.15, 0.35]"`
	// Requests in work for each core.
	ThrashAt Span `toml:"thrash_at" range:"0..10000" default:"[3.6, 7.8]"`
	// Of its capacity, at its start.
	ColdFrom Span `toml:"cold_from" range:"0.01..1" default:"[0.31, 0.58]"`
	// Until it is warm, by time, while it has work.
	Cold TimeSpan `toml:"cold_s" range:"0..600" default:"[3.7, 8.9]"`
	// 0: no pauses.
	PauseEvery TimeSpan `toml:"pause_every_s" range:"0..3600" default:"[2.1, 11]"`
	Pause      TimeSpan `toml:"pause_ms" range:"0..10000" default:"[0, 125]"`
	// Of its answers, on a good day.
	ErrorRate Span `toml:"error_rate" range:"0..1" default:"[0, 0.002]"`
	// Cancel says what a cancel or time-out stops: nothing, or work that still waits. Running work goes on.
	Cancel string `toml:"cancel" oneof:"none,queued,either" default:"'either'"`
	// DropsExpired: waiting work whose time is over is turned away when its turn comes.
	DropsExpired bool `toml:"drops_expired"`
}

// Effect says what repeating a request may do.
type Effect string

// The effects, as agents are told them.
const (
	Safe   Effect = "safe"
	Unsafe Effect = "unsafe"
)

// Class is a class of requests.
type Class struct {
	Name string `toml:"name,need"`
	// Of the first tries; all classes' shares add up to 1.
	Share float64 `toml:"share,need" range:"0..1"`
	// The mean on a standard core; drawn for the day.
	Work TimeSpan `toml:"work_ms,need" range:"0.01..60000"`
	Dist string   `toml:"dist" oneof:"fixed,exp,lognormal" default:"'exp'"`
	// Of lognormal work: the deviation over the mean.
	CV Span `toml:"cv" range:"0..10" default:"[0.2, 0.7]"`
	// The same, of an attempt's work round its request's.
	Noise Span          `toml:"attempt_noise" range:"0..5" default:"[0.06, 0.45]"`
	Aim   time.Duration `toml:"aim_ms,need" range:"1..600000"`
	// A client's, over all its tries.
	Deadline time.Duration `toml:"deadline_ms,need" range:"1..600000"`
	Worth    float64       `toml:"worth,need" range:"0.001..1000000"`
	Effect   Effect        `toml:"effect,need" oneof:"safe,unsafe"`
}

// Tenant is a clinic group.
type Tenant struct {
	Name string `toml:"name,need"`
	// Of the service; all shares add up to 1.
	Share float64 `toml:"share,need" range:"0..1"`
	// What it sends over its share, before all are scaled to the load.
	Usage Span `toml:"usage" range:"0..100" default:"[0.6, 1.4]"`
}

// Backoff says how long a client waits before it tries again.
type Backoff string

// The waits: none, the same each time, doubling each time.
const (
	AtOnce      Backoff = "none"
	Fixed       Backoff = "fixed"
	Exponential Backoff = "exp"
)

// Clients is how the callers behave.
type Clients struct {
	// After the first try.
	Retries int `toml:"retries" range:"0..10" default:"2"`
	// Of the class's deadline: when a try is given up.
	TryShare    Span     `toml:"try_share" range:"0.01..1" default:"[0.5, 1]"`
	Backoff     Backoff  `toml:"backoff" oneof:"none,fixed,exp" default:"'exp'"`
	BackoffWait TimeSpan `toml:"backoff_ms" range:"0..60000" default:"[25, 200]"`
	// Part of the clients that heed Retry-After.
	Honour Span `toml:"honour" range:"0..1" default:"[0.3, 0.9]"`
	// Part of the tries left before their time is over.
	Impatient  Span `toml:"impatient" range:"0..1" default:"[0, 0.02]"`
	MarksRetry bool `toml:"marks_retry" default:"true"`
	// A client whose agent was killed retries at another one.
	Elsewhere bool `toml:"elsewhere" default:"true"`
	// After which it closes its own idle connection; 0: a new one for each request.
	KeepIdle time.Duration `toml:"keep_idle_s" range:"0..3600" default:"10"`
	// Part of the requests that come as GraphQL over HTTP.
	GraphQL float64 `toml:"graphql" range:"0..1"`
	// Agents have a front for it; else they take it for POSTs of the first unsafe class.
	GraphQLFront bool `toml:"graphql_front" default:"true"`
}

// Connections is what connections from agents to booking servers cost and stand.
type Connections struct {
	HandshakeTrips Span `toml:"handshake_rtts" range:"0..10" default:"[2, 3]"`
	// Of a booking server, for a new one.
	HandshakeWork TimeSpan `toml:"handshake_work_ms" range:"0..1000" default:"[1.5, 4]"`
	// After which the machine closes an idle one.
	Idle           time.Duration `toml:"idle_s" range:"0.1..3600" default:"15"`
	ConnectTimeout time.Duration `toml:"connect_timeout_ms" range:"1..60000" default:"250"`
	// Capacity lost with all connections open.
	FullTax Span `toml:"full_tax" range:"0..1" default:"[0.2, 0.4]"`
}

// Affinity is how booking servers gain from keys that they have met lately.
type Affinity struct {
	// Of the work, saved.
	Gain        Span     `toml:"gain" range:"0..0.99" default:"[0.27, 0.66]"`
	Remembered  TimeSpan `toml:"remembered_s" range:"0..3600" default:"[5.1, 10]"`
	KeysPerCore Span     `toml:"keys_per_core" range:"0..1000000" default:"[8, 16]"`
}

// Discovery is the service that keeps the list of booking servers; it answers when asked.
type Discovery struct {
	// Until it knows of a drain or an end that is told.
	Notice TimeSpan `toml:"notice_s" range:"0..600" default:"[0.9, 4.7]"`
	// Of a machine that vanished.
	SilentNotice TimeSpan `toml:"silent_notice_s" range:"0..600" default:"[4.5, 12]"`
	// Of a new process.
	Join TimeSpan `toml:"add_s" range:"0..600" default:"[1.1, 2.4]"`
	// Between the changes that a watch is told.
	Period TimeSpan `toml:"period_ms" range:"0..60000" default:"[200, 1200]"`
	// By which watches are told apart.
	Spread    TimeSpan `toml:"spread_ms" range:"0..60000" default:"[16, 97]"`
	CallsPerS Span     `toml:"calls_per_s" range:"0.1..1000000" default:"[3, 5.5]"`
	// A call that waited longer fails.
	Timeout time.Duration `toml:"timeout_ms" range:"1..60000" default:"1000"`
	// Of the list that an agent starts with.
	KnownAge TimeSpan `toml:"known_age_s" range:"0..86400" default:"[0, 10]"`
}

// Network is the delays on the way. A delay is one way.
type Network struct {
	Zones []string `toml:"zones" default:"['buc-pipera', 'buc-militari', 'cluj-est', 'brasov-nord']"`
	// Within a zone.
	Same TimeSpan `toml:"same_ms" range:"0..10000" default:"[0.12, 0.33]"`
	// Drawn for each pair of zones.
	Cross TimeSpan `toml:"cross_ms" range:"0..10000" default:"[0.7, 1.3]"`
	// Between an application and its agent.
	Client TimeSpan `toml:"client_ms" range:"0..10000" default:"[0.02, 0.07]"`
	// Deviation over the mean.
	Jitter       Span     `toml:"jitter" range:"0..5" default:"[0.07, 0.35]"`
	Datagram     TimeSpan `toml:"datagram_ms" range:"0..10000" default:"[1.1, 30]"`
	DatagramLoss Span     `toml:"datagram_loss" range:"0..1" default:"[0, 0.01]"`
}

// Allow is what the deployment permits an agent.
type Allow struct {
	MaxAttempts   int           `toml:"max_attempts" range:"1..16" default:"3"`
	SecondCopies  bool          `toml:"second_copies" default:"true"`
	Cancel        bool          `toml:"cancel" default:"true"`
	Peers         bool          `toml:"peers" default:"true"`
	RetryAfter    bool          `toml:"retry_after" default:"true"`
	MaxRetryAfter time.Duration `toml:"max_retry_after_ms" range:"0..600000" default:"2000"`
}

// Rules are the figures of the four rules.
type Rules struct {
	// After the client's time is over.
	AnswerSlack time.Duration `toml:"answer_slack_ms" range:"0..10000" default:"20"`
	DrainGrace  time.Duration `toml:"drain_grace_ms" range:"0..60000" default:"3000"`
	// Who asks less often counts as told.
	AskWithin time.Duration `toml:"ask_within_s" range:"0.1..3600" default:"10"`
	// What discovery has to tell counts as told then.
	TellWithin time.Duration `toml:"tell_within_s" range:"0..3600" default:"6"`
	// A starting server's least capacity.
	ColdShare float64 `toml:"cold_share" range:"0.01..1" default:"0.31"`
	// By when it is warm.
	ColdFor      time.Duration `toml:"cold_s" range:"0..600" default:"8.9"`
	FallMultiple float64       `toml:"fall_multiple" range:"1..1000" default:"3"`
	FallWindow   time.Duration `toml:"fall_ms" range:"1..600000" default:"3000"`
}

// What a cold server stands beyond the N requests that it is allowed: so many roots of N, and so many more.
const fallRoots, fallMore = 2, 2

// FallLimit is the work within FallWindow beyond which a cold server falls over, by what it can do then
// (seconds of standard work a second). Of N requests of mean work that the multiple allows it, it stands 2
// more and twice the root of N: what comes by chance is not held against the agents.
func (r *Rules) FallLimit(capacity float64, mean time.Duration) time.Duration {
	allowed := r.FallMultiple * max(capacity, 0) * float64(r.FallWindow)
	if mean <= 0 {
		return time.Duration(allowed)
	}
	n := allowed / float64(mean)
	return time.Duration((n + fallRoots*math.Sqrt(n) + fallMore) * float64(mean))
}

// MeanWork is the mean work of a request, by the mean of each class.
func (s *Scenario) MeanWork(each []time.Duration) time.Duration {
	sum := 0.0
	for i, mean := range each {
		sum += s.Classes[i].Share * float64(mean)
	}
	return time.Duration(sum)
}

// Goal is the weights of the parts of service; they add up to 1.
type Goal struct {
	Whole float64 `toml:"whole" range:"0..1" default:"0.55"`
	// Of 10 s.
	WorstWindow float64 `toml:"worst_window" range:"0..1" default:"0.25"`
	WorstClass  float64 `toml:"worst_class" range:"0..1" default:"0.1"`
	// Within its share.
	WorstTenant float64 `toml:"worst_tenant" range:"0..1" default:"0.1"`
}

// Prices come off the service, each times its rate.
type Prices struct {
	// A new connection for each first try.
	Handshake float64 `toml:"handshake" range:"0..1" default:"0.08"`
	// As much work wasted as was asked for.
	Waste float64 `toml:"waste" range:"0..1" default:"0.046"`
	// All failing only after the aim.
	LateFail float64 `toml:"late_fail" range:"0..1" default:"0.04"`
	// An attempt across zones for each first try.
	CrossZone float64 `toml:"cross_zone" range:"0..1" default:"0.023"`
	// All tries turned back unheard: a new connection closed with no answer, failed without having been sent on.
	Unheard float64 `toml:"unheard" range:"0..1" default:"0.04"`
	// 256 bytes delivered for each first try.
	Peer float64 `toml:"peer" range:"0..1" default:"0.01"`
}

// Gate is what the gate asks of the day that is not the same for all days.
type Gate struct {
	// One of the short days: what is asked of its classes is asked of all short days together.
	Short bool `toml:"short"`
	// Of what the policy that sees late serves of the day, this part at least.
	OfLate float64 `toml:"of_late" range:"0..1" default:"0.5"`
	// Part of the agents that may turn away all that they get for some seconds; a calm day has 0.1 at most.
	TurnAway float64 `toml:"turn_away" range:"0..1" default:"1"`
	// One request in so many, and five more, may be left with no answer when its time is up; 0: none.
	OneUnansweredIn int `toml:"one_unanswered_in" range:"0..1000000"`
	// A cold server that is pushed over breaks the rule.
	ColdFalls bool `toml:"cold_falls" default:"true"`
}

// TroubleKind names what goes wrong.
type TroubleKind string

// The kinds of trouble. Servers, and machines, are Part of those that run when it begins.
const (
	// Silent: servers take requests and answer none.
	Silent TroubleKind = "silent"
	// Failing: servers quickly fail Size of their requests.
	Failing TroubleKind = "failing"
	// Refusing: servers turn all requests away at once.
	Refusing TroubleKind = "refusing"
	// Deploy: a rolling deploy replaces Part of the servers, in batches of Size of the fleet. Each is listed as
	// leaving and ends Drain later; its successor starts cold.
	Deploy TroubleKind = "deploy"
	// Slow: something that all servers depend on makes every one take Size times as long.
	Slow TroubleKind = "slow"
	// Vanished: machines say nothing any more, not even that they are gone. They come back with what they held.
	Vanished TroubleKind = "vanished"
	// Crashed: processes die and their connections are reset. They start again, cold, when the trouble ends.
	Crashed TroubleKind = "crashed"
	// AgentsKilled: Count agents are killed, the busiest first, and start from nothing when the trouble ends.
	AgentsKilled TroubleKind = "agents_killed"
	// AgentsRestarted: Count agents, the busiest first, are told to end. They drain, and start from nothing
	// when the trouble ends; with a Size, that part of them at a time, evenly over the trouble's length, and
	// each as soon as it has drained.
	AgentsRestarted TroubleKind = "agents_restarted"
	// TakenOut: staff take servers out by hand at every agent that runs, have them restarted half way, and put
	// them back when the trouble ends. Discovery knows of the restarts alone.
	TakenOut TroubleKind = "taken_out"
	// SentAway: Count agents, the busiest first, send their clients away by hand, and take them again when the
	// trouble ends.
	SentAway TroubleKind = "sent_away"
	// Upgraded: at Count agents, the busiest first, a new process takes over, and the old one ends in order.
	Upgraded TroubleKind = "upgraded"
	// DiscoveryDown: calls to discovery fail and its watches end.
	DiscoveryDown TroubleKind = "discovery_down"
	// WatchesSilent: each watch that is open falls silent, at some time within the trouble's length, and stays
	// so until its agent ends it. Those taken up since are well.
	WatchesSilent TroubleKind = "watches_silent"
	// EmptyList: discovery tells that every server is gone, and when it ends that all are back.
	EmptyList TroubleKind = "empty_list"
	// Reset: Size of the route steps end with a reset connection, half before they have run and half after.
	Reset TroubleKind = "reset"
	// Forgotten: connections to servers that stood idle for longer than Idle are lost without a word.
	Forgotten TroubleKind = "forgotten"
	// Spoilt: Size of the servers' answers can't be read.
	Spoilt TroubleKind = "spoilt"
	// OnWire: Size of the servers' answers have a Fault of the wire.
	OnWire TroubleKind = "on_wire"
	// Surge: Size times the usual traffic.
	Surge TroubleKind = "surge"
	// Partition: nothing passes between a zone and the other zones.
	Partition TroubleKind = "partition"
	// DatagramsLost: Size of the datagrams between agents are lost, or of those to the agents of a Zone alone.
	DatagramsLost TroubleKind = "datagrams_lost"
	// FewConnections: servers accept only Size of the connections that they usually do.
	FewConnections TroubleKind = "few_connections"
	// Datagrams: those from some agents to some are lost, late, overtaken, doubled, spoilt or cut off, each
	// direction of each pair by itself (internal/rehearsal/mishap).
	Datagrams TroubleKind = "datagrams"
	// Streams: what agents have open to discovery, to the booking servers or to both has a Fault (StreamFaults).
	Streams TroubleKind = "streams"
	// AgentsPaused: agents stand still, as by SIGSTOP, and go on when it ends, with all that came meanwhile.
	AgentsPaused TroubleKind = "agents_paused"
	// AgentsSlowed: agents run for Size of the time, in slices of SlowSlice.
	AgentsSlowed TroubleKind = "agents_slowed"
	// ClientsLeave: Part of the clients that wait for an answer when it begins leave, for good.
	ClientsLeave TroubleKind = "clients_leave"
	// LateConnections: Part of the connections that agents begin to booking servers come up a Delay later.
	LateConnections TroubleKind = "late_connections"
	// Window: a maintenance window takes servers from Tenants. Their keys leave evenly within Moves, and come
	// back so in the end.
	Window TroubleKind = "window"
)

// SlowSlice is in what time a slowed agent runs once and stands still once.
const SlowSlice = 50 * time.Millisecond

// LongestPause is for how long an agent may stand still at a time.
const LongestPause = time.Minute

// Trouble is something that goes wrong, from a time on and for a time. Each kind needs some of the fields and
// takes some others; any more are an error (see troubleFields).
type Trouble struct {
	Kind TroubleKind `toml:"kind,need"`
	At   TimeSpan    `toml:"at_s,need" range:"0..86400"`
	For  TimeSpan    `toml:"for_s,need" range:"0.1..86400"`
	Part Span        `toml:"part" range:"0.001..1"`
	Size Span        `toml:"size" range:"0..1000"`
	// Agents that it comes over: so many, the busiest first, or those of these numbers, from 0.
	Count  int   `toml:"count" range:"1..20000"`
	Agents []int `toml:"agents" range:"0..19999"`
	// Of the servers that it picks from, or of the agents that hear nothing; empty: of all.
	Zone  string   `toml:"zone"`
	Fault Fault    `toml:"fault"`
	Idle  TimeSpan `toml:"idle_s" range:"0.01..3600"`
	// That a deploy leaves a server between telling it to go and its end.
	Drain TimeSpan `toml:"drain_s" range:"0..600" default:"[2.7, 5.4]"`
	// Part of a deploy's successors that come up at the old address.
	SameAddress Span `toml:"same_address" range:"0..1" default:"0"`
	// A slow spell that heals: it ends as soon as the servers were less busy than HealsBelow on the mean for
	// HealsRest, and otherwise For after its start.
	HealsBelow Span     `toml:"heals_below" range:"0.01..1"`
	HealsRest  TimeSpan `toml:"heals_rest_s" range:"0.1..600"`
	// One that comes and goes is there for On and away for Off, in turn, until For has passed.
	On  TimeSpan `toml:"on_s" range:"0.1..3600"`
	Off TimeSpan `toml:"off_s" range:"0.1..3600"`
	// Whose datagrams, to whom, by number; empty: all. The shares are drawn for the day, the times for each
	// datagram.
	From []int `toml:"from" range:"0..19999"`
	To   []int `toml:"to" range:"0..19999"`
	// Nothing passes.
	Cut  bool `toml:"cut"`
	Loss Span `toml:"loss" range:"0..1"`
	// Bursts: ways are calm and bad by turns, for exponential times of these means; BurstLoss is lost in bad
	// ones.
	BurstLoss Span     `toml:"burst_loss" range:"0..1"`
	Calm      TimeSpan `toml:"calm_ms" range:"1..600000"`
	Bad       TimeSpan `toml:"bad_ms" range:"1..600000"`
	Delay     TimeSpan `toml:"delay_ms" range:"0..600000"`
	// Share that is held back for Held, so that others overtake it.
	Reorder Span     `toml:"reorder" range:"0..1"`
	Held    TimeSpan `toml:"held_ms" range:"0..600000"`
	Double  Span     `toml:"double" range:"0..1"`
	// Shares with flipped bits, and that lose their end.
	Flip    Span `toml:"flip" range:"0..1"`
	Shorten Span `toml:"shorten" range:"0..1"`
	// Whose streams.
	Stream string `toml:"stream" oneof:"discovery,servers,both" default:"'both'"`
	// What a killed agent finds in its folder when it starts again: what it left, or nothing.
	Folder string `toml:"folder" oneof:"lasts,empty" default:"'lasts'"`
	// Of a window: whom it moves, by name; "-" stands for requests of none of the tenants, "*" for all.
	Tenants []string `toml:"tenants"`
	// That a window takes to move the keys away, and to have them back.
	Moves TimeSpan `toml:"moves_s" range:"0.1..3600"`
}

// A troubleFields says which keys a kind of trouble needs and may have beside kind, at_s and for_s, and
// between which bounds its size lies. Some need one key of a few.
type troubleFields struct {
	need, may []string
	least     float64
	most      float64
	oneOf     []string // exactly one of these; any of them, where anyOf is so
	anyOf     bool
}

var (
	ofAZone      = []string{"zone"}
	ofADeploy    = []string{"drain_s", "same_address", "zone"}
	comesAndGoes = []string{"on_s", "off_s", "zone"}
	someAgents   = []string{"count", "agents"}
	ofDatagrams  = []string{"cut", "loss", "burst_loss", "delay_ms", "reorder", "double", "flip", "shorten"}
)

var troubleKinds = map[TroubleKind]troubleFields{
	Silent:          {need: []string{"part"}, may: comesAndGoes},
	Failing:         {need: []string{"part", "size"}, may: comesAndGoes, most: 1},
	Refusing:        {need: []string{"part"}, may: comesAndGoes},
	Deploy:          {need: []string{"part", "size"}, may: ofADeploy, most: 1},
	Slow:            {need: []string{"size"}, may: []string{"heals_below", "heals_rest_s"}, least: 1, most: 100},
	Vanished:        {need: []string{"part"}, may: ofAZone},
	Crashed:         {need: []string{"part"}, may: comesAndGoes},
	AgentsKilled:    {oneOf: someAgents, may: []string{"folder"}},
	AgentsRestarted: {oneOf: someAgents, may: []string{"size"}, least: 0.001, most: 1},
	TakenOut:        {need: []string{"part"}},
	SentAway:        {need: []string{"count"}},
	Upgraded:        {need: []string{"count"}},
	DiscoveryDown:   {},
	WatchesSilent:   {},
	EmptyList:       {},
	Reset:           {need: []string{"size"}, most: 1},
	Forgotten:       {need: []string{"idle_s"}},
	Spoilt:          {need: []string{"part", "size"}, may: ofAZone, most: 1},
	OnWire:          {need: []string{"part", "size", "fault"}, most: 1},
	Surge:           {need: []string{"size"}, least: 0.01, most: 100},
	Partition:       {need: ofAZone},
	DatagramsLost:   {need: []string{"size"}, may: ofAZone, most: 1},
	FewConnections:  {need: []string{"part", "size"}, may: ofAZone, most: 1},
	Datagrams: {
		oneOf: ofDatagrams, anyOf: true,
		may: []string{"from", "to", "calm_ms", "bad_ms", "held_ms", "on_s", "off_s"},
	},
	Streams:         {need: []string{"fault"}, may: []string{"stream", "agents", "on_s", "off_s"}},
	AgentsPaused:    {oneOf: someAgents, may: []string{"on_s", "off_s"}},
	Window:          {need: []string{"part", "tenants", "moves_s"}, may: ofAZone},
	ClientsLeave:    {need: []string{"part"}, may: []string{"on_s", "off_s"}},
	LateConnections: {need: []string{"part", "delay_ms"}, may: []string{"on_s", "off_s"}},
	AgentsSlowed:    {need: []string{"size"}, oneOf: someAgents, least: 0.01, most: 0.99},
}
