package wire

import (
	"fmt"

	"dunestep/internal/balancer"
)

// The kinds of messages from the simulator. The names belong to the protocol and do not change.
const (
	KindServerList    = "POOL"         // a server list, to which later list updates refer by number
	KindNewInstance   = "NEW_INSTANCE" // starts a balancer
	KindKilled        = "KILLED"       // stops a balancer
	KindRequest       = "REQUEST"
	KindAttemptDone   = "DONE"
	KindListUpdate    = "SYNC"
	KindTimer         = "TIMER"
	KindProbeDone     = "CHECKED"
	KindStreamStarted = "STREAMING"
	KindClientGone    = "TIMED_OUT_CLIENT"
	KindPeerMessage   = "NEIGHBOUR_SAYS"
)

// The kinds of messages to the simulator.
const (
	kindSend       = "HAND_OFF"
	kindFail       = "GIVE_UP"
	kindReject     = "REFUSE"
	kindCancel     = "REVOKE"
	kindProbe      = "CHECK"
	kindSendToPeer = "NOTIFY"
	kindSetTimer   = "SET_TIMER"
	kindSubscribe  = "SUBSCRIBE"
	kindFetch      = "REFRESH"
	kindLog        = "SAY_LOG"
	kindFatal      = "FATAL"
)

// The fields of batches and of their messages.
const (
	fieldTime     = "time"
	fieldMessages = "items"
	fieldActions  = "actions"

	fieldKind          = "kind"
	fieldAgent         = "agentId"
	fieldRequest       = "call"
	fieldWorkHint      = "weightHint"
	fieldKey           = "subject"
	fieldTenant        = "org"
	fieldClass         = "class"
	fieldClientTimeout = "budget"
	fieldClientRetry   = "isRetry"
	fieldAttempt       = "go"
	fieldServer        = "backend"
	fieldOutcome       = "disposition"
	fieldLatency       = "latency"
	fieldRequestDone   = "complete"
	fieldLoadReport    = "stats"
	fieldFrom          = "by"
	fieldData          = "body"
	fieldTag           = "tag"
	fieldMode          = "mode"
	fieldList          = "sheet"
	fieldServers       = "members"
	fieldSeed          = "prng"
	fieldSettings      = "env"
)

// The fields of a server in a list, beside fieldServer.
const (
	fieldZone        = "campus"
	fieldMachineKind = "machine"
	fieldCell        = "cohort"
	fieldState       = "availability"
	fieldWeight      = "heft"
	fieldStartedAt   = "startedAt"

	stateDraining = "terminating"
	stateGone     = "terminated" // any other state: ready
)

// The fields of a load report.
const (
	fieldReportInFlight = "rif"
	fieldReportLatency  = "lat_ms"
	fieldReportRate     = "rate"
	fieldReportErrors   = "fail_rate"
)

// The fields of actions, beside those above.
const (
	fieldTimeout    = "limit"
	fieldRetryAfter = "stayAway"
	fieldPeer       = "dest"
	fieldDelay      = "offset"
	fieldWanted     = "want"
	fieldText       = "reasonText"
)

// ParseOutcome returns the outcome with the given name. An unknown name gives ServerError, after which the
// request may have been processed.
func ParseOutcome(name string) balancer.Outcome {
	switch name {
	case "served":
		return balancer.Served
	case "turned_away":
		return balancer.Rejected
	case "no_answer":
		return balancer.TimedOut
	case "no_connection":
		return balancer.ConnectFailed
	case "connection_lost":
		return balancer.ConnectionLost
	case "called_off":
		return balancer.Canceled
	case "not_sent":
		return balancer.NotSent
	}
	return balancer.ServerError
}

// ParseUpdateKind returns the kind of a server list update with the given mode. An unknown mode is an error.
func ParseUpdateKind(mode string) (balancer.UpdateKind, error) {
	switch mode {
	case "INCREMENTAL":
		return balancer.UpdateIncremental, nil
	case "FULL":
		return balancer.UpdateFull, nil
	case "SAVED":
		return balancer.UpdateCached, nil
	case "FAILED":
		return balancer.UpdateFailed, nil
	}
	return 0, fmt.Errorf("unknown mode %q of a server list update", mode)
}

// actionKind returns the protocol's name of an action, or an empty string if there is none.
func actionKind(k balancer.ActionKind) string {
	switch k {
	case balancer.Send:
		return kindSend
	case balancer.Fail:
		return kindFail
	case balancer.Reject:
		return kindReject
	case balancer.Cancel:
		return kindCancel
	case balancer.Probe:
		return kindProbe
	case balancer.SendToPeer:
		return kindSendToPeer
	case balancer.SetTimer:
		return kindSetTimer
	case balancer.Subscribe:
		return kindSubscribe
	case balancer.Fetch:
		return kindFetch
	case balancer.Log:
		return kindLog
	}
	return ""
}
