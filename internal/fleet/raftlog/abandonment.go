package raftlog

// When a log is abandoned.
//
// A voter leaves its log, and becomes a new store with another nonce, if all of the following are true:
//
//   - a majority of the log's voters, by the newest configuration that this voter knows, is proved gone;
//   - every other configured voter recently reported that it has no log, or that its log cannot continue;
//   - no live log was observed for Config.FoundingQuietPeriod;
//   - the log is volatile, or an operator has consented.

// isStuck reports whether a majority of the voters is proved gone, so that nothing can be committed any more.
func (v *Voter) isStuck() bool {
	if v.raftNode == nil {
		return false
	}
	return v.hasLostMajority(v.confState.GetVoters()) || v.hasLostMajority(v.confState.GetVotersOutgoing())
}

func (v *Voter) hasLostMajority(ids []uint64) bool {
	remaining := 0
	for _, id := range ids {
		if m := v.state.member(id); m != nil && !v.isReplaced(*m) {
			remaining++
		}
	}
	return len(ids) > 0 && remaining < len(ids)/2+1
}

// isReplaced reports whether a member's store is gone because its agent has a newer one.
func (v *Voter) isReplaced(m member) bool {
	if m.agent == v.config.Agent {
		return m.nonce < v.identity.Nonce
	}
	return m.nonce < v.joining.hellos[m.agent].nonce
}

// hasLostLogBeforeSnapshot reports whether this store was added to a log that disappeared before it sent its
// first snapshot.
func (v *Voter) hasLostLogBeforeSnapshot() bool {
	return v.isLongLeaderless() && len(v.confState.GetVoters()) == 0 &&
		v.now.Sub(v.leaderSeenAt) > v.config.FoundingQuietPeriod
}

// mayAbandonLog reports whether the log cannot continue and may be abandoned.
func (v *Voter) mayAbandonLog() bool {
	return v.isStuck() && (v.config.Volatile || v.joining.isAbandonRequested) && v.hasNoLiveLogElsewhere()
}

// hasNoLiveLogElsewhere reports whether every other configured voter recently reported that it has no log or
// one that cannot continue, and no live log was observed for Config.FoundingQuietPeriod.
func (v *Voter) hasNoLiveLogElsewhere() bool {
	for _, a := range v.config.Voters {
		h, isKnown := v.joining.hellos[a]
		if a != v.config.Agent && (!isKnown || !v.isRecent(h) || h.state == hasLog) {
			return false
		}
	}
	return v.isQuietPeriodOver()
}
