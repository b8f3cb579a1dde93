package replica_test

import (
	"errors"
	"fmt"

	"dunestep/internal/fleet/replica"
)

// An agent takes what it lacks from another one, and does not take what cannot follow from what it has.
func Example() {
	copyOf := func(records ...string) *replica.Log {
		log, err := replica.New(replica.InitialSnapshot(1), replica.Limits{})
		for i, r := range records {
			err = errors.Join(err, log.Append(replica.Record{Seq: uint64(i + 1), Data: []byte(r)}))
		}
		if err != nil {
			fmt.Println(err)
		}
		return log
	}
	ahead, behind := copyOf("a", "b", "c"), copyOf("a")
	part, _ := ahead.Segment(behind.Last().Seq+1, 1000)
	taken, err := behind.AppendSegment(part)
	fmt.Println(taken, err, behind.Last() == ahead.Last())
	_, err = copyOf("x").AppendSegment(part)
	fmt.Println(err)
	// Output:
	// 2 <nil> true
	// two copies of the log differ in the same record
}
