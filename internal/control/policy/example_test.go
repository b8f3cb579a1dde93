package policy_test

import (
	"fmt"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
)

// An agent checks documents against its settings and the floor before it accepts them.
func Example() {
	local := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}},
		Classes: []balancer.Class{{Name: "find"}}, Limits: balancer.Limits{MaxAttempts: 3},
	}}
	for _, text := range []string{
		"format = 1\n[tenants.east]\nshare = 0.55\n[tenants.west]\nshare = 0.45\n",
		"format = 1\n[classes.find]\nattempts = 4\n",
		"format = 1\n[classes.find]\ntries = 2\n",
	} {
		fmt.Println(policy.CheckDocument([]byte(text), local, policy.InitialFloor()))
	}
	// Output:
	// <nil>
	// class find: the settings permit 3 attempts
	// policy:3:1: classes.find.tries: unknown key; there are attempts, copies, pace_ms
}
