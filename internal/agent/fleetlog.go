package agent

import (
	"log/slog"

	"dunestep/internal/fleet"
)

// logFleetEvent logs an event of the node.
func logFleetEvent(e fleet.Event) {
	at := e.Position
	switch e.Kind {
	case fleet.LeadershipGained:
		slog.Info("fleet: this agent became the leader", "record", at.Seq)
	case fleet.LeadershipLost:
		slog.Info("fleet: this agent is no longer the leader", "record", at.Seq)
	case fleet.LogRestarted:
		slog.Warn("fleet: the log was restarted, everything agreed before is lost", "epoch", at.Epoch)
	case fleet.LogDiverged:
		slog.Error("fleet: the log diverges from another agent's", "agent", e.Agent, "record", at.Seq,
			"error", e.Err)
	case fleet.VoterStopped:
		slog.Error("fleet: the voter has stopped", "error", e.Err)
	case fleet.UnknownRecord:
		slog.Warn("fleet: the log has records of a type that this build does not know, they are stored unread",
			"record", at.Seq, "error", e.Err)
	case fleet.LeaseAcquired:
		slog.Info("fleet: lease acquired", "epoch", at.Epoch, "record", at.Seq)
	case fleet.LeaseLost:
		slog.Warn("fleet: lease lost, running at the policy floor", "epoch", at.Epoch, "record", at.Seq)
	}
}
