package ring_test

import (
	"fmt"

	"dunestep/internal/balancer/ring"
)

// The keys of a member that leaves move to the next member on the walk, and back when it rejoins.
func Example() {
	members := ring.New[string](100)
	places := map[string]*ring.Place[string]{}
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		places[name] = members.Join(name, name)
	}
	key := ring.Hash("chair-4")
	owner := members.Owner(key)
	members.Walk(key, func(name string) bool {
		fmt.Println(name)
		return true
	})
	members.Leave(places[owner])
	fmt.Println("without", owner+":", members.Owner(key))
	members.Join(owner, owner)
	fmt.Println("after it rejoined:", members.Owner(key))
	// Output:
	// s-2
	// s-1
	// s-3
	// without s-2: s-1
	// after it rejoined: s-2
}
