// Package scenario defines what a scenario run consists of: the deployment's settings, its machines,
// agents, clients, discovery and network, the load, and the faults that are injected. A scenario is a TOML
// file. Load reads it strictly and reports all problems at once, with line and column.
package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// Span is a range from which each run draws one value, uniformly between Low and High. In a file it is a
// number, or an array of minimum and maximum.
type Span struct{ Low, High float64 }

// Draw returns a random value of the span.
func (s Span) Draw(r *rand.Rand) float64 { return s.Low + (s.High-s.Low)*r.Float64() }

// Mean returns the middle of the span.
func (s Span) Mean() float64 { return (s.Low + s.High) / 2 }

// TimeSpan is a range of times from which each run draws one, written like a Span in the unit that the key
// ends with.
type TimeSpan struct{ Low, High time.Duration }

// Draw returns a random time of the span.
func (s TimeSpan) Draw(r *rand.Rand) time.Duration {
	return s.Low + time.Duration(float64(s.High-s.Low)*r.Float64())
}

// Scenario defines a run. Load and Parse return it with all values checked.
type Scenario struct {
	Schema int    `toml:"schema,need" range:"1..1"`
	Name   string `toml:"name,need"`
	About  string `toml:"about"`
	// Service below this fails the run.
	Floor float64 `toml:"floor,need" range:"0..1"`
	// Seed of the run if the command gives none.
	Seed        uint64      `toml:"seed" default:"1"`
	Run         Run         `toml:"day,need"`
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
	Faults      []FaultSpec `toml:"trouble"`
}

// Run is the length of a run's arrivals. The run then continues until everything is answered.
type Run struct {
	Length time.Duration `toml:"length_s,need" range:"1..86400"`
	// Service counts first tries from this time on.
	From time.Duration `toml:"from_s" range:"0..3600" default:"1"`
}

// Shape is the change of the traffic over the run.
type Shape string

// The shapes: constant, a straight line up over the run, or one wave over it. The mean is always the
// load's.
const (
	Steady Shape = "steady"
	Ramp   Shape = "ramp"
	Wave   Shape = "wave"
)

// Arrivals is the process by which first tries arrive.
type Arrivals string

// The arrival processes: independent arrivals, or bursts.
const (
	Poisson Arrivals = "poisson"
	Bursty  Arrivals = "bursty"
)

// Traffic defines the first tries. They are drawn in advance and do not wait for answers. Either PerS or
// OfCapacity is set.
type Traffic struct {
	// Mean rate of first tries over the run, per second.
	PerS Span `toml:"per_s" range:"0..1000000"`
	// The same as work relative to the capacity of the warmed-up fleet.
	OfCapacity Span  `toml:"of_capacity" range:"0..20"`
	Shape      Shape `toml:"shape" oneof:"steady,ramp,wave" default:"'steady'"`
	// Largest deviation from the mean, for ramp and wave.
	Swing    Span     `toml:"swing" range:"0..1" default:"[0.17, 0.38]"`
	Arrivals Arrivals `toml:"arrivals" oneof:"poisson,bursty" default:"'poisson'"`
	// Mean number of first tries in a burst.
	BurstMean float64 `toml:"burst_mean" range:"1..10000" default:"20"`
	// Time over which the first tries of a burst arrive.
	BurstSpan time.Duration `toml:"burst_ms" range:"1..60000" default:"200"`
	// Number of distinct keys, rounded; 0: requests have no key.
	Keys Span `toml:"keys" range:"0..10000000" default:"[430, 1200]"`
	// Exponent of the keys' popularity.
	KeyZipf Span `toml:"key_zipf" range:"0..5" default:"[0.57, 0.93]"`
	// QuotaOfCapacity or QuotaPerS is the sum of all tenants' quotas, in first tries per second.
	QuotaOfCapacity Span `toml:"quota_of_capacity" range:"0..20"`
	QuotaPerS       Span `toml:"quota_per_s" range:"0..1000000"`
	// Factor on the worth of requests above a tenant's quota.
	OverShareWorth float64 `toml:"over_share_worth" range:"0..1" default:"0.05"`
}

// Agents defines the agents, each beside one copy of the application.
type Agents struct {
	Count int `toml:"count,need" range:"1..20000"`
	// Exponent of the agents' parts of the traffic; 0: equal parts.
	Zipf Span `toml:"zipf" range:"0..5" default:"[0.5, 1]"`
	// 0: spread evenly over the zones, 1: all in the first.
	ZoneSkew Span `toml:"zone_skew" range:"0..1" default:"[0.05, 0.3]"`
	// Minimum time between the module's steps.
	Tick    time.Duration `toml:"tick_ms" range:"0.1..100" default:"5"`
	Sockets int           `toml:"sockets" range:"64..1000000" default:"1024"`
	// Further resources of each agent in a live run.
	MemoryMB int     `toml:"memory_mb" range:"32..65536" default:"192"`
	Cores    float64 `toml:"cores" range:"0.1..64" default:"1"`
	// Time from a killed agent's start until it is ready.
	RestartTime time.Duration `toml:"back_in_ms" range:"0..60000" default:"300"`
	// Interval at which an agent writes its learned state to a disk that outlives it, and duration of a write;
	// 0: never.
	StateInterval  time.Duration `toml:"keep_every_s" range:"0..3600"`
	StateWriteTime time.Duration `toml:"keep_takes_ms" range:"0..60000" default:"20"`
	// Agents send only a small part of the traffic at first to servers of a list that discovery has not
	// confirmed since the agent's start.
	ListProbation bool `toml:"proves_list"`
	// Agents place requests by generations of the ring that they agree on. Not available in live runs.
	RingPlacement bool `toml:"placed"`
	// Duration of a full deploy. A list of that age is considered entirely unconfirmed.
	DeployTime time.Duration `toml:"deploy_takes_s" range:"1..86400" default:"900"`
}

// Fleet defines the number of upstream servers and their distribution over the zones.
type Fleet struct {
	Servers int `toml:"servers,need" range:"1..5000"`
	// 0: spread evenly over the zones, 1: all in the first.
	ZoneSkew Span `toml:"zone_skew" range:"0..1" default:"[0, 0.2]"`
	CellSize int  `toml:"cell_size" range:"1..5000" default:"4"`
	// Weights of the servers on the list: none (1 for all), their nominal size, or a rough size.
	Weights string `toml:"weights" oneof:"none,nominal,rough" default:"'rough'"`
}

// Kind is a kind of machine. Spans are drawn for each server.
type Kind struct {
	Name string `toml:"name,need"`
	// Part of the fleet; all kinds' shares add up to 1.
	Share float64 `toml:"share,need" range:"0..1"`
	Cores int     `toml:"cores,need" range:"1..1024"`
	// Standard work per unit of time and core.
	Speed        Span `toml:"speed,need" range:"0.01..100"`
	SlotsPerCore Span `toml:"slots_per_core" range:"1..10000" default:"[4, 12]"`
	QueuePerCore Span `toml:"queue_per_core" range:"0..100000" default:"[18, 30]"`
	// Maximum number of connections.
	ConnsPerCore Span `toml:"conns_per_core" range:"1..100000" default:"[140, 170]"`
	// Part of the speed lost for each request that a core holds above ThrashAt.
	Thrash Span `toml:"thrash" range:"0..10" default:"[0.15, 0.35]"`
	// Executing requests per core.
	ThrashAt Span `toml:"thrash_at" range:"0..10000" default:"[3.6, 7.8]"`
	// Part of the capacity available at the start.
	SlowStartFrom Span `toml:"cold_from" range:"0.01..1" default:"[0.31, 0.58]"`
	// Duration of the slow start, counted while the server has work.
	SlowStartTime TimeSpan `toml:"cold_s" range:"0..600" default:"[3.7, 8.9]"`
	// 0: no pauses.
	PauseEvery TimeSpan `toml:"pause_every_s" range:"0..3600" default:"[2.1, 11]"`
	Pause      TimeSpan `toml:"pause_ms" range:"0..10000" default:"[0, 125]"`
	// Part of the answers that are errors without any fault.
	ErrorRate Span `toml:"error_rate" range:"0..1" default:"[0, 0.002]"`
	// Cancel is what a cancellation or timeout stops: nothing, or queued work. Executing work continues.
	Cancel string `toml:"cancel" oneof:"none,queued,either" default:"'either'"`
	// DropsExpired makes the server reject queued work whose time is up when it would be executed.
	DropsExpired bool `toml:"drops_expired"`
}

// Effect is the effect of repeating a request.
type Effect string

// The effects, as configured on the agents.
const (
	Safe   Effect = "safe"
	Unsafe Effect = "unsafe"
)

// Class is a class of requests.
type Class struct {
	Name string `toml:"name,need"`
	// Part of the first tries; all classes' shares add up to 1.
	Share float64 `toml:"share,need" range:"0..1"`
	// Mean on a standard core, drawn for the run.
	Work TimeSpan `toml:"work_ms,need" range:"0.01..60000"`
	Dist string   `toml:"dist" oneof:"fixed,exp,lognormal" default:"'exp'"`
	// Standard deviation over the mean, for lognormal work.
	CV Span `toml:"cv" range:"0..10" default:"[0.2, 0.7]"`
	// The same for an attempt's work around its request's.
	Noise            Span          `toml:"attempt_noise" range:"0..5" default:"[0.06, 0.45]"`
	LatencyObjective time.Duration `toml:"aim_ms,need" range:"1..600000"`
	// Client's deadline over all its tries.
	Deadline time.Duration `toml:"deadline_ms,need" range:"1..600000"`
	Worth    float64       `toml:"worth,need" range:"0.001..1000000"`
	Effect   Effect        `toml:"effect,need" oneof:"safe,unsafe"`
}

// Tenant is a clinic group.
type Tenant struct {
	Name string `toml:"name,need"`
	// Part of the total quota; all shares add up to 1.
	Share float64 `toml:"share,need" range:"0..1"`
	// Traffic relative to the quota, before all tenants are scaled to the load.
	Usage Span `toml:"usage" range:"0..100" default:"[0.6, 1.4]"`
}

// Backoff is how a client's wait between tries develops.
type Backoff string

// The waits: none, constant, doubling.
const (
	AtOnce      Backoff = "none"
	Fixed       Backoff = "fixed"
	Exponential Backoff = "exp"
)

// Clients defines the behavior of the clients.
type Clients struct {
	// Tries after the first.
	Retries int `toml:"retries" range:"0..10" default:"2"`
	// Part of the class's deadline after which a try is given up.
	TryShare    Span     `toml:"try_share" range:"0.01..1" default:"[0.5, 1]"`
	Backoff     Backoff  `toml:"backoff" oneof:"none,fixed,exp" default:"'exp'"`
	BackoffWait TimeSpan `toml:"backoff_ms" range:"0..60000" default:"[25, 200]"`
	// Part of the clients that obey Retry-After.
	HonorRetryAfter Span `toml:"honour" range:"0..1" default:"[0.3, 0.9]"`
	// Part of the tries whose client leaves before its time is up.
	Impatient  Span `toml:"impatient" range:"0..1" default:"[0, 0.02]"`
	MarksRetry bool `toml:"marks_retry" default:"true"`
	// A client whose agent was killed retries at another agent.
	RetryElsewhere bool `toml:"elsewhere" default:"true"`
	// Time after which a client closes its idle connection; 0: a new connection for each request.
	KeepIdle time.Duration `toml:"keep_idle_s" range:"0..3600" default:"10"`
	// Part of the requests sent as GraphQL over HTTP.
	GraphQL float64 `toml:"graphql" range:"0..1"`
	// Agents have a GraphQL listener; otherwise they treat GraphQL as POST requests of the first unsafe class.
	GraphQLListener bool `toml:"graphql_front" default:"true"`
}

// Connections defines costs and limits of connections from agents to upstream servers.
type Connections struct {
	HandshakeTrips Span `toml:"handshake_rtts" range:"0..10" default:"[2, 3]"`
	// Work of an upstream server for a new connection.
	HandshakeWork TimeSpan `toml:"handshake_work_ms" range:"0..1000" default:"[1.5, 4]"`
	// Time after which the machine closes an idle connection.
	Idle           time.Duration `toml:"idle_s" range:"0.1..3600" default:"15"`
	ConnectTimeout time.Duration `toml:"connect_timeout_ms" range:"1..60000" default:"250"`
	// Part of the capacity lost with all connections open.
	FullTax Span `toml:"full_tax" range:"0..1" default:"[0.2, 0.4]"`
}

// Affinity defines what upstream servers save on keys that they have served recently.
type Affinity struct {
	// Part of the work saved.
	Gain        Span     `toml:"gain" range:"0..0.99" default:"[0.27, 0.66]"`
	Remembered  TimeSpan `toml:"remembered_s" range:"0..3600" default:"[5.1, 10]"`
	KeysPerCore Span     `toml:"keys_per_core" range:"0..1000000" default:"[8, 16]"`
}

// Discovery defines the service that keeps the list of upstream servers and answers calls for it.
type Discovery struct {
	// Delay until it learns of an announced drain or end.
	Notice TimeSpan `toml:"notice_s" range:"0..600" default:"[0.9, 4.7]"`
	// Delay until it learns that a machine vanished.
	SilentNotice TimeSpan `toml:"silent_notice_s" range:"0..600" default:"[4.5, 12]"`
	// Delay until it learns of a new process.
	Join TimeSpan `toml:"add_s" range:"0..600" default:"[1.1, 2.4]"`
	// Interval between the changes sent on a watch.
	Period TimeSpan `toml:"period_ms" range:"0..60000" default:"[200, 1200]"`
	// Maximum further delay of the changes on a watch, drawn for each watch.
	Spread    TimeSpan `toml:"spread_ms" range:"0..60000" default:"[16, 97]"`
	CallsPerS Span     `toml:"calls_per_s" range:"0.1..1000000" default:"[3, 5.5]"`
	// A call that waits longer fails.
	Timeout time.Duration `toml:"timeout_ms" range:"1..60000" default:"1000"`
	// Age of the list that an agent starts with.
	KnownAge TimeSpan `toml:"known_age_s" range:"0..86400" default:"[0, 10]"`
}

// Network defines the one-way delays.
type Network struct {
	Zones []string `toml:"zones" default:"['buc-pipera', 'buc-militari', 'cluj-est', 'brasov-nord']"`
	// Within a zone.
	Same TimeSpan `toml:"same_ms" range:"0..10000" default:"[0.12, 0.33]"`
	// Between zones, drawn for each pair of zones.
	Cross TimeSpan `toml:"cross_ms" range:"0..10000" default:"[0.7, 1.3]"`
	// Between an application and its agent.
	Client TimeSpan `toml:"client_ms" range:"0..10000" default:"[0.02, 0.07]"`
	// Standard deviation over the mean.
	Jitter       Span     `toml:"jitter" range:"0..5" default:"[0.07, 0.35]"`
	Datagram     TimeSpan `toml:"datagram_ms" range:"0..10000" default:"[1.1, 30]"`
	DatagramLoss Span     `toml:"datagram_loss" range:"0..1" default:"[0, 0.01]"`
}

// Allow is what the deployment permits an agent to do.
type Allow struct {
	MaxAttempts   int           `toml:"max_attempts" range:"1..16" default:"3"`
	SecondCopies  bool          `toml:"second_copies" default:"true"`
	Cancel        bool          `toml:"cancel" default:"true"`
	Peers         bool          `toml:"peers" default:"true"`
	RetryAfter    bool          `toml:"retry_after" default:"true"`
	MaxRetryAfter time.Duration `toml:"max_retry_after_ms" range:"0..600000" default:"2000"`
}

// Rules are the parameters of the four rules.
type Rules struct {
	// Time allowed for an answer after the client's time is up.
	AnswerSlack time.Duration `toml:"answer_slack_ms" range:"0..10000" default:"20"`
	DrainGrace  time.Duration `toml:"drain_grace_ms" range:"0..60000" default:"3000"`
	// An agent that requests the list less often counts as notified after this time.
	RequestWithin time.Duration `toml:"ask_within_s" range:"0.1..3600" default:"10"`
	// An agent with a watch counts as notified of a change after this time.
	NotifyWithin time.Duration `toml:"tell_within_s" range:"0..3600" default:"6"`
	// Minimum capacity of a starting server, as a part of its full capacity.
	SlowStartShare float64 `toml:"cold_share" range:"0.01..1" default:"0.31"`
	// Maximum duration of the slow start.
	SlowStartTime    time.Duration `toml:"cold_s" range:"0..600" default:"8.9"`
	OverloadMultiple float64       `toml:"fall_multiple" range:"1..1000" default:"3"`
	OverloadWindow   time.Duration `toml:"fall_ms" range:"1..600000" default:"3000"`
}

// Margin before a server in slow start is overloaded: of N allowed requests, so many times the square root
// of N, and so many requests more.
const overloadRoots, overloadExtra = 2, 2

// OverloadLimit returns the work within OverloadWindow above which a server in slow start is overloaded.
// capacity is its current capacity in seconds of standard work per second, mean the mean work of a request.
// On top of the N requests of mean work that OverloadMultiple allows, there is a margin of 2 requests plus
// twice the square root of N, so that random variation is not counted against the agents.
func (r *Rules) OverloadLimit(capacity float64, mean time.Duration) time.Duration {
	allowed := r.OverloadMultiple * max(capacity, 0) * float64(r.OverloadWindow)
	if mean <= 0 {
		return time.Duration(allowed)
	}
	n := allowed / float64(mean)
	return time.Duration((n + overloadRoots*math.Sqrt(n) + overloadExtra) * float64(mean))
}

// MeanWork returns the mean work of a request, given the mean of each class.
func (s *Scenario) MeanWork(each []time.Duration) time.Duration {
	sum := 0.0
	for i, mean := range each {
		sum += s.Classes[i].Share * float64(mean)
	}
	return time.Duration(sum)
}

// Goal is the weights of the parts of the service; they add up to 1.
type Goal struct {
	Whole float64 `toml:"whole" range:"0..1" default:"0.55"`
	// Worst window of 10 s.
	WorstWindow float64 `toml:"worst_window" range:"0..1" default:"0.25"`
	WorstClass  float64 `toml:"worst_class" range:"0..1" default:"0.1"`
	// Worst tenant, within its quota.
	WorstTenant float64 `toml:"worst_tenant" range:"0..1" default:"0.1"`
}

// Prices are deducted from the service, each multiplied by its rate. Each comment describes a rate of 1.
type Prices struct {
	// One new connection per first try.
	Handshake float64 `toml:"handshake" range:"0..1" default:"0.08"`
	// As much work wasted as requested.
	Waste float64 `toml:"waste" range:"0..1" default:"0.046"`
	// All worth fails only after the latency objective.
	LateFail float64 `toml:"late_fail" range:"0..1" default:"0.04"`
	// One attempt to another zone per first try.
	CrossZone float64 `toml:"cross_zone" range:"0..1" default:"0.023"`
	// All tries had their new connection closed without an answer, or failed without having been sent.
	UnsentTries float64 `toml:"unheard" range:"0..1" default:"0.04"`
	// 256 bytes delivered between agents per first try.
	Peer float64 `toml:"peer" range:"0..1" default:"0.01"`
}

// Gate is the part of the gate's requirements that differs between scenarios.
type Gate struct {
	// One of the short runs: the requirements on classes apply to all short runs together.
	Short bool `toml:"short"`
	// Minimum service as a part of what the delayed-view policy serves in the run.
	OfDelayed float64 `toml:"of_late" range:"0..1" default:"0.5"`
	// Part of the agents that may reject every request that they get for some seconds; at most 0.1 in a calm
	// run.
	RejectingPart float64 `toml:"turn_away" range:"0..1" default:"1"`
	// One request in this number, and five more, may be unanswered at its deadline; 0: none.
	OneUnansweredIn int `toml:"one_unanswered_in" range:"0..1000000"`
	// An overloaded server in slow start breaks the rule.
	OverloadBreaksRule bool `toml:"cold_falls" default:"true"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Part is the part of the running servers or machines that a fault affects when it
// begins.
const (
	// Silent: servers accept requests and answer none.
	Silent FaultKind = "silent"
	// Failing: servers quickly fail the part Size of their requests.
	Failing FaultKind = "failing"
	// Refusing: servers reject all requests at once.
	Refusing FaultKind = "refusing"
	// Deploy: a rolling deploy replaces Part of the servers, in batches of the part Size of the fleet. Each
	// server is listed as leaving and ends after Drain; its successor begins with a slow start.
	Deploy FaultKind = "deploy"
	// SlowPeriod: a shared dependency slows all servers down by the factor Size.
	SlowPeriod FaultKind = "slow"
	// MachinesUnreachable: machines are cut off, without any notice that they are gone. They come back with
	// what they held.
	MachinesUnreachable FaultKind = "vanished"
	// Crashed: processes die and their connections are reset. They start again when the fault ends, with a
	// slow start.
	Crashed FaultKind = "crashed"
	// AgentsKilled: Count agents, the busiest first, are killed and start without memory when the fault ends.
	AgentsKilled FaultKind = "agents_killed"
	// AgentsRestarted: Count agents, the busiest first, are requested to terminate. They drain, and start
	// without memory when the fault ends. With a Size, that part of them restarts at a time,
	// spread evenly over the fault's duration, each as soon as it has drained.
	AgentsRestarted FaultKind = "agents_restarted"
	// ServersTakenOut: operators take servers out of service manually at every running agent, restart them
	// half way, and put them back when the fault ends. Discovery learns only of the restarts.
	ServersTakenOut FaultKind = "taken_out"
	// ClientsRedirected: Count agents, the busiest first, are manually set to send their clients to other
	// agents, and take them back when the fault ends.
	ClientsRedirected FaultKind = "sent_away"
	// AgentsUpgraded: at Count agents, the busiest first, a new process takes over and the old one shuts down
	// gracefully.
	AgentsUpgraded FaultKind = "upgraded"
	// DiscoveryDown: calls to discovery fail and its watches end.
	DiscoveryDown FaultKind = "discovery_down"
	// WatchesSilent: each open watch goes silent at some time during the fault, and stays silent until its
	// agent ends it. Watches opened later work.
	WatchesSilent FaultKind = "watches_silent"
	// EmptyList: discovery reports every server as gone, and all as back when the fault ends.
	EmptyList FaultKind = "empty_list"
	// Reset: the part Size of the attempts ends with a reset connection, half of them before and half after
	// they have run.
	Reset FaultKind = "reset"
	// IdleConnectionsLost: connections to servers that were idle for longer than Idle are lost without notice.
	IdleConnectionsLost FaultKind = "forgotten"
	// UnreadableAnswers: the part Size of the servers' answers is unreadable.
	UnreadableAnswers FaultKind = "spoilt"
	// FaultyAnswers: the part Size of the servers' answers has a ConnFault of the wire.
	FaultyAnswers FaultKind = "on_wire"
	// Surge: the usual traffic times Size.
	Surge FaultKind = "surge"
	// Partition: nothing passes between a zone and the other zones.
	Partition FaultKind = "partition"
	// DatagramsLost: the part Size of the datagrams between agents is lost, with a Zone only of those to its
	// agents.
	DatagramsLost FaultKind = "datagrams_lost"
	// FewConnections: servers accept only the part Size of their usual number of connections.
	FewConnections FaultKind = "few_connections"
	// Datagrams: datagrams between some agents are lost, delayed, reordered, duplicated, corrupted or
	// truncated, each direction of each pair independently (internal/rehearsal/mishap).
	Datagrams FaultKind = "datagrams"
	// Streams: agents' connections to discovery, to the upstream servers or to both have a ConnFault of
	// StreamFaults.
	Streams FaultKind = "streams"
	// AgentsPaused: agents are paused, as by SIGSTOP, and continue when the fault ends, with everything that
	// has arrived.
	AgentsPaused FaultKind = "agents_paused"
	// AgentsSlowed: agents run for the part Size of the time, in slices of SlowSlice.
	AgentsSlowed FaultKind = "agents_slowed"
	// ClientsLeave: Part of the clients that are waiting for an answer when the fault begins leave and do not
	// return.
	ClientsLeave FaultKind = "clients_leave"
	// LateConnections: Part of the connections that agents open to upstream servers are established later by
	// Delay.
	LateConnections FaultKind = "late_connections"
	// Window: a maintenance window takes servers from Tenants. Their keys leave evenly over MoveTime and come
	// back the same way at the end.
	Window FaultKind = "window"
)

// SlowSlice is the period in which a slowed agent runs once and pauses once.
const SlowSlice = 50 * time.Millisecond

// LongestPause is the maximum duration of a pause of an agent.
const LongestPause = time.Minute

// FaultSpec is a fault to inject at a time and for a duration. Each kind requires some of the fields and
// allows some others; further ones are an error (see faultFields).
type FaultSpec struct {
	Kind FaultKind `toml:"kind,need"`
	At   TimeSpan  `toml:"at_s,need" range:"0..86400"`
	For  TimeSpan  `toml:"for_s,need" range:"0.1..86400"`
	Part Span      `toml:"part" range:"0.001..1"`
	Size Span      `toml:"size" range:"0..1000"`
	// Agents affected: the busiest Count agents, or those with the given numbers, from 0.
	Count  int   `toml:"count" range:"1..20000"`
	Agents []int `toml:"agents" range:"0..19999"`
	// Zone of the servers chosen from, or of the agents that receive nothing; empty: all zones.
	Zone  string    `toml:"zone"`
	Fault ConnFault `toml:"fault"`
	Idle  TimeSpan  `toml:"idle_s" range:"0.01..3600"`
	// Time between the notice to a server in a deploy and its end.
	Drain TimeSpan `toml:"drain_s" range:"0..600" default:"[2.7, 5.4]"`
	// Part of a deploy's successors that start at the old address.
	SameAddress Span `toml:"same_address" range:"0..1" default:"0"`
	// For a slow period that can end early: it ends once the servers' mean utilization has been below
	// HealsBelow for HealsRest, and at the latest after For.
	HealsBelow Span     `toml:"heals_below" range:"0.01..1"`
	HealsRest  TimeSpan `toml:"heals_rest_s" range:"0.1..600"`
	// An intermittent fault is active for On and inactive for Off alternately, until For has passed.
	On  TimeSpan `toml:"on_s" range:"0.1..3600"`
	Off TimeSpan `toml:"off_s" range:"0.1..3600"`
	// Senders and receivers of the datagrams, by number; empty: all. The parts below are drawn for the run,
	// the times for each datagram.
	From []int `toml:"from" range:"0..19999"`
	To   []int `toml:"to" range:"0..19999"`
	// Nothing passes.
	Cut  bool `toml:"cut"`
	Loss Span `toml:"loss" range:"0..1"`
	// Bursts of loss: each path alternates between calm and bad periods of exponential length with these
	// means. In bad periods the part BurstLoss is lost.
	BurstLoss Span     `toml:"burst_loss" range:"0..1"`
	Calm      TimeSpan `toml:"calm_ms" range:"1..600000"`
	Bad       TimeSpan `toml:"bad_ms" range:"1..600000"`
	Delay     TimeSpan `toml:"delay_ms" range:"0..600000"`
	// Part that is held back for HoldBack, so that later datagrams overtake it.
	Reorder   Span     `toml:"reorder" range:"0..1"`
	HoldBack  TimeSpan `toml:"held_ms" range:"0..600000"`
	Duplicate Span     `toml:"double" range:"0..1"`
	// Parts with flipped bits, and with the end cut off.
	Flip    Span `toml:"flip" range:"0..1"`
	Shorten Span `toml:"shorten" range:"0..1"`
	// Affected streams.
	Stream string `toml:"stream" oneof:"discovery,servers,both" default:"'both'"`
	// What a killed agent finds in its state directory when it starts again: its last state, or nothing.
	StateDir string `toml:"folder" oneof:"lasts,empty" default:"'lasts'"`
	// Tenants that a window moves, by name; "-" is requests without a tenant, "*" is all.
	Tenants []string `toml:"tenants"`
	// Time that a window takes to move the keys away, and to move them back.
	MoveTime TimeSpan `toml:"moves_s" range:"0.1..3600"`
}

// faultFields defines the keys that a kind of fault requires and allows besides kind, at_s and for_s, and
// the bounds of its size.
type faultFields struct {
	required, optional []string
	minSize            float64
	maxSize            float64
	oneOf              []string // exactly one of these is required, or at least one if anyOf is set
	anyOf              bool
}

var (
	zoneKey          = []string{"zone"}
	deployKeys       = []string{"drain_s", "same_address", "zone"}
	intermittentKeys = []string{"on_s", "off_s", "zone"}
	agentKeys        = []string{"count", "agents"}
	datagramKeys     = []string{"cut", "loss", "burst_loss", "delay_ms", "reorder", "double", "flip", "shorten"}
)

var faultKinds = map[FaultKind]faultFields{
	Silent:   {required: []string{"part"}, optional: intermittentKeys},
	Failing:  {required: []string{"part", "size"}, optional: intermittentKeys, maxSize: 1},
	Refusing: {required: []string{"part"}, optional: intermittentKeys},
	Deploy:   {required: []string{"part", "size"}, optional: deployKeys, maxSize: 1},
	SlowPeriod: {
		required: []string{"size"}, optional: []string{"heals_below", "heals_rest_s"},
		minSize: 1, maxSize: 100,
	},
	MachinesUnreachable: {required: []string{"part"}, optional: zoneKey},
	Crashed:             {required: []string{"part"}, optional: intermittentKeys},
	AgentsKilled:        {oneOf: agentKeys, optional: []string{"folder"}},
	AgentsRestarted:     {oneOf: agentKeys, optional: []string{"size"}, minSize: 0.001, maxSize: 1},
	ServersTakenOut:     {required: []string{"part"}},
	ClientsRedirected:   {required: []string{"count"}},
	AgentsUpgraded:      {required: []string{"count"}},
	DiscoveryDown:       {},
	WatchesSilent:       {},
	EmptyList:           {},
	Reset:               {required: []string{"size"}, maxSize: 1},
	IdleConnectionsLost: {required: []string{"idle_s"}},
	UnreadableAnswers:   {required: []string{"part", "size"}, optional: zoneKey, maxSize: 1},
	FaultyAnswers:       {required: []string{"part", "size", "fault"}, maxSize: 1},
	Surge:               {required: []string{"size"}, minSize: 0.01, maxSize: 100},
	Partition:           {required: zoneKey},
	DatagramsLost:       {required: []string{"size"}, optional: zoneKey, maxSize: 1},
	FewConnections:      {required: []string{"part", "size"}, optional: zoneKey, maxSize: 1},
	Datagrams: {
		oneOf: datagramKeys, anyOf: true,
		optional: []string{"from", "to", "calm_ms", "bad_ms", "held_ms", "on_s", "off_s"},
	},
	Streams:         {required: []string{"fault"}, optional: []string{"stream", "agents", "on_s", "off_s"}},
	AgentsPaused:    {oneOf: agentKeys, optional: []string{"on_s", "off_s"}},
	Window:          {required: []string{"part", "tenants", "moves_s"}, optional: zoneKey},
	ClientsLeave:    {required: []string{"part"}, optional: []string{"on_s", "off_s"}},
	LateConnections: {required: []string{"part", "delay_ms"}, optional: []string{"on_s", "off_s"}},
	AgentsSlowed:    {required: []string{"size"}, oneOf: agentKeys, minSize: 0.01, maxSize: 0.99},
}
