package replica_test

import (
	"errors"
	"fmt"

	"dunestep/internal/fleet/replica"
)

// An agent appends the records that it lacks from another replica, and rejects records that do not continue its own.
func Example() {
	replicaOf := func(records ...string) *replica.Log {
		log, err := replica.New(replica.InitialSnapshot(1), replica.Limits{})
		for i, r := range records {
			err = errors.Join(err, log.Append(replica.Record{Seq: uint64(i + 1), Data: []byte(r)}))
		}
		if err != nil {
			fmt.Println(err)
		}
		return log
	}
	ahead, behind := replicaOf("a", "b", "c"), replicaOf("a")
	segment, _ := ahead.Segment(behind.Last().Seq+1, 1000)
	appended, err := behind.AppendSegment(segment)
	fmt.Println(appended, err, behind.Last() == ahead.Last())
	_, err = replicaOf("x").AppendSegment(segment)
	fmt.Println(err)
	// Output:
	// 2 <nil> true
	// two replicas of the log differ in the same record
}
