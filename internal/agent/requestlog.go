package agent

import (
	"context"
	"log/slog"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// The lines of this file are logged for each request and attempt, at level DEBUG. They have the request's id
// on the wire, so that a request can be followed through the logs of its client, its agent and its servers.

// logsRequests reports whether lines at level DEBUG are logged. Without the check, the arguments of each line
// would be allocated for nothing.
func logsRequests() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// responseKindNames are the kinds of responses as they appear in log lines.
var responseKindNames = map[protocol.ResponseKind]string{
	protocol.Served: "served", protocol.Rejected: "rejected", protocol.Failed: "failed",
	protocol.Malformed: "malformed", protocol.TooLong: "too long",
}

// attemptPhaseNames are the phases of attempts as they appear in log lines.
var attemptPhaseNames = [...]string{
	routing.Connecting: "connecting", routing.StaleConnection: "unsent", routing.Writing: "writing",
	routing.AwaitingResponse: "awaiting response", routing.Responding: "responding",
}

func logResponse(r *request, out *routing.Output) {
	if logsRequests() {
		slog.Debug("request answered", "id", r.CorrelationID, "result", responseKindNames[out.Result],
			"reason", out.Cause, "skipped", out.Skipped, "attempts", len(r.attempts),
			"after", time.Since(r.ArrivedAt), "had", r.TimeLeft)
	}
}

func logClientGone(r *request) {
	if logsRequests() {
		slog.Debug("client gone", "id", r.CorrelationID, "attempts", len(r.attempts),
			"after", time.Since(r.ArrivedAt))
	}
}

func logTimeOver(r *request) {
	if logsRequests() {
		slog.Debug("request answered at the end of its time", "id", r.CorrelationID, "attempts", len(r.attempts),
			"after", time.Since(r.ArrivedAt), "had", r.TimeLeft)
	}
}

func logAttemptStarted(a *attempt) {
	if logsRequests() {
		slog.Debug("attempt started", "id", a.request.CorrelationID, "attempt", a.number, "server", a.endpoint,
			"timeout", time.Until(a.deadlines.Load().giveUpAt))
	}
}

func logResponseBegun(a *attempt, length int64) {
	if logsRequests() {
		slog.Debug("response begun", "id", a.request.CorrelationID, "attempt", a.number, "server", a.endpoint,
			"length", length, "after", a.headAfter())
	}
}

// responseStageNames are the stages of responses as they appear in log lines.
var responseStageNames = [...]string{
	routing.NoResponse: "none", routing.ResponseArriving: "arriving", routing.ShortResponseBegun: "short, begun",
	routing.ResponseBegun: "begun",
}

func logAttemptOverdue(a *attempt, o routing.OverdueAttempt, p bodystream.Progress) {
	if logsRequests() {
		slog.Debug("attempt overdue", "id", a.request.CorrelationID, "attempt", a.number, "server", a.endpoint,
			"response", responseStageNames[o.Stage], "received", p.Received, "silent_for", p.SilentFor,
			"memory_wait", p.MemoryWait, "local", o.IsLocal)
	}
}

func logAttemptEnded(a *attempt, result routing.AttemptResult) {
	if logsRequests() {
		slog.Debug("attempt ended", "id", a.request.CorrelationID, "attempt", a.number, "server", a.endpoint,
			"phase", attemptPhaseNames[result.Phase], "reason", result.EndReason, "took", result.Latency,
			"head_after", a.headAfter(), "received", result.Progress.Received, "streamed", result.Streamed,
			"late", result.LocalDelay, "being_taken", result.WasBeingTaken, "body_consumed", result.BodyConsumed)
	}
}

func logAttemptStalled(a *attempt, stalledFor time.Duration) {
	if logsRequests() {
		slog.Debug("attempt stalled", "id", a.request.CorrelationID, "attempt", a.number, "server", a.endpoint,
			"stalled_for", stalledFor)
	}
}
