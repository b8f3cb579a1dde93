package ring_test

import (
	"fmt"

	"dunestep/internal/balancer/ring"
)

// A member that leaves gives its keys to the next one on the walk, and has them again when it is back.
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
	fmt.Println("with it again:", members.Owner(key))
	// Output:
	// s-2
	// s-1
	// s-3
	// without s-2: s-1
	// with it again: s-2
}
