package protocol

import (
	"testing"
	"time"

	"dunestep/internal/balancer"
)

func TestSettings(t *testing.T) {
	s, err := DecodeSettings([]byte(`{"balancers":3,"discovery":"on_request","novel":{"x":1},"resolution":5000,
		"categories":[{"name":"a","effect":"dedup","keyScope":"zone","memorySpan":3000000,"aim":2000000,"deadline":5000000,"value":10},
		{"name":"b","effect":"something else"}],
		"rules":{"onlyDrainingBinds":true,"cold":8800000},"bounds":{"maxRetryAfter":2000000},"report":{"how":"pull"}}`))
	if err != nil {
		t.Fatal(err)
	}
	a := s.Classes[0]
	if a.Idempotency != balancer.IdempotentWithKey || a.DedupScope != balancer.DedupScopeZone || a.DedupWindow != 3*time.Second || a.PriorityWeight != 10 {
		t.Errorf("%+v", a)
	}
	if s.Classes[1].Idempotency != balancer.NotIdempotent {
		t.Error("a class with an unknown effect must not be idempotent")
	}
	if !s.DiscoveryOnDemand || !s.Rules.GoneUsable || s.Rules.SlowStartDuration != 8800*time.Millisecond || s.Tick != 5*time.Millisecond {
		t.Errorf("%+v", s)
	}
	if _, err := DecodeSettings([]byte(`[1`)); err == nil {
		t.Error("malformed settings were accepted")
	}
}
