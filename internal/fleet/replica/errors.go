package replica

import "errors"

// Errors of a Log. Unless stated otherwise, the log is unchanged.
var (
	// ErrDiverged reports that two replicas differ at the same position.
	ErrDiverged = errors.New("two replicas of the log differ in the same record")
	// ErrOldEpoch reports that the data is of a log that was replaced by a later one.
	ErrOldEpoch = errors.New("the epoch of the log was replaced by a later one")
	// ErrNewEpoch reports that the data is of a later log whose first records are missing.
	ErrNewEpoch = errors.New("the beginning of a later epoch of the log is missing")
	// ErrGap reports that records before the data are missing.
	ErrGap = errors.New("earlier records of the log are missing")
	// ErrFull reports that the limits are reached and the log has to be compacted first. Earlier records of the
	// same segment were appended.
	ErrFull = errors.New("the log is full until it is compacted")
	// ErrTooLarge reports that no log with these limits can hold a record or a snapshot.
	ErrTooLarge = errors.New("the data exceeds the limits of the log")
	// ErrCorrupt reports that the sums of the data do not match its content.
	ErrCorrupt = errors.New("the sums do not match the data")
)
