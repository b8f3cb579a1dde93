package wire

import (
	"encoding/json"
	"testing"
	"time"

	"dunestep/internal/balancer"
)

func TestAppendActionIsValidJSON(t *testing.T) {
	for _, c := range []struct {
		a    balancer.Action
		want string
	}{
		{
			balancer.Action{Kind: balancer.Send, ID: 4294967295, Server: `s"1`, After: time.Second},
			`{"kind":"HAND_OFF","agentId":"agent-1","call":4294967295,"backend":"s\"1","limit":1000000}`,
		},
		{balancer.Action{Kind: balancer.Fail, ID: 2}, `{"kind":"GIVE_UP","agentId":"agent-1","call":2}`},
		{balancer.Action{Kind: balancer.Reject, ID: 2}, `{"kind":"REFUSE","agentId":"agent-1","call":2}`},
		{
			balancer.Action{Kind: balancer.Reject, ID: 2, After: time.Millisecond},
			`{"kind":"REFUSE","agentId":"agent-1","call":2,"stayAway":1000}`,
		},
		{balancer.Action{Kind: balancer.Cancel, ID: 2, Attempt: 1}, `{"kind":"REVOKE","agentId":"agent-1","call":2,"go":1}`},
		{balancer.Action{Kind: balancer.Probe, Server: "s"}, `{"kind":"CHECK","agentId":"agent-1","backend":"s"}`},
		{
			balancer.Action{Kind: balancer.SendToPeer, Peer: -1, Data: []byte{0, 255}},
			`{"kind":"NOTIFY","agentId":"agent-1","dest":-1,"body":"00ff"}`,
		},
		{
			balancer.Action{Kind: balancer.SetTimer, After: time.Second, Tag: 1 << 40},
			`{"kind":"SET_TIMER","agentId":"agent-1","offset":1000000,"tag":1099511627776}`,
		},
		{balancer.Action{Kind: balancer.Subscribe}, `{"kind":"SUBSCRIBE","agentId":"agent-1","want":true}`},
		{balancer.Action{Kind: balancer.Fetch}, `{"kind":"REFRESH","agentId":"agent-1"}`},
		{balancer.Action{Kind: balancer.Log, Text: "a\nb"}, `{"kind":"SAY_LOG","agentId":"agent-1","reasonText":"a\u000ab"}`},
	} {
		got := string(AppendAction(nil, "agent-1", &c.a))
		if got != c.want || !json.Valid([]byte(got)) {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
}

func TestBatchFields(t *testing.T) {
	line := `{"time":12,"items":[{"kind":"DONE","agentId":"agent-2","call":9,"go":2,"backend":"b","disposition":"served",` +
		`"latency":77,"complete":true,"stats":{"rif":2,"lat_ms":5.5,"zzz":{}}},{"kind":"REQUEST","org":"t","isRetry":true,` +
		`"subject":null,"weightHint":12},{"kind":"NEIGHBOUR_SAYS","by":3,"body":"6869"}]}`
	var got []Message
	now, err := NewDecoder().DecodeBatch([]byte(line), func(_ time.Duration, m *Message) error { got = append(got, *m); return nil })
	if err != nil || now != 12*time.Microsecond || len(got) != 3 {
		t.Fatalf("%v %v %d", now, err, len(got))
	}
	if m := got[0]; m.ID != 9 || m.Attempt != 2 || !m.Complete || !m.HasLoadReport || m.LoadReport.InFlight != 2 ||
		m.LoadReport.Latency != 0.0055 || m.LoadReport.Rate != -1 {
		t.Errorf("%+v", m)
	}
	if m := got[1]; m.Tenant != "t" || !m.ClientRetry || m.Key != "" || m.WorkHint != 12 || m.Complete {
		t.Errorf("%+v", m)
	}
	if m := got[2]; m.From != 3 || string(m.Data) != "hi" {
		t.Errorf("%+v", m)
	}
}
