package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

const settingsJSON = `{"balancers":2,"ordinal":0,"zone":"a","resolution":5000,"unheard":[1,{"x":2}],` +
	`"categories":[{"name":"c","aim":400000,"deadline":1000000,"effect":"retryable","value":1}],` +
	`"bounds":{"sendCap":3,"cancel":true,"mayTell":true,"probes":true,"retryAfter":true,"maxRetryAfter":900000},` +
	`"rules":{"cold":8000000,"startCapacity":0.4,"fallMultiple":3,"fall":2000000},"discovery":"on_request"}`

const newInstanceMessage = `{"kind":"NEW_INSTANCE","agentId":"agent-1","prng":9,"env":` + settingsJSON + `}`

type reply struct {
	Actions []map[string]any `json:"actions"`
}

func runLines(t *testing.T, lines ...string) ([]reply, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	var rs []reply
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var r reply
		if l == "" {
			continue
		}
		if e := json.Unmarshal([]byte(l), &r); e != nil {
			t.Fatalf("not a reply: %s", l)
		}
		rs = append(rs, r)
	}
	return rs, err
}

func batch(items ...string) string { return `{"time":1000,"items":[` + strings.Join(items, ",") + `]}` }

func serverList(sheet, id string) string {
	return `{"kind":"POOL","sheet":` + sheet + `,"members":[{"backend":"` + id +
		`","campus":"a","availability":"in_service","heft":1,"later":null}]}`
}

func listUpdate(mode, sheet string) string {
	return `{"kind":"SYNC","agentId":"agent-1","mode":"` + mode + `","version":1,"sheet":` + sheet + `}`
}

func request(id string) string {
	return `{"kind":"REQUEST","agentId":"agent-1","call":` + id + `,"class":"c","org":0,"subject":"k:a\"b","budget":900000}`
}

func action(r reply, kind string) map[string]any {
	for _, a := range r.Actions {
		if a["kind"] == kind {
			return a
		}
	}
	return nil
}

func TestTranscripts(t *testing.T) {
	for _, c := range []struct {
		name    string
		lines   []string
		kind    string // an action that the last reply must contain; empty: the reply must have no action
		backend string
	}{
		{"an empty batch", []string{batch()}, "", ""},
		{"a saved list causes a subscription", []string{batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0"))}, "SUBSCRIBE", ""},
		{"a list number is reused within a batch", []string{
			batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0"), serverList("0", "s2"), listUpdate("FULL", "0"), request("7")),
		}, "HAND_OFF", "s2"},
		{"a full list replaces the previous one", []string{
			batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0")),
			batch(serverList("1", "s2"), listUpdate("FULL", "1")), batch(request("7")),
		}, "HAND_OFF", "s2"},
		{"a failed call keeps the list, whatever number it refers to", []string{
			batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0")),
			batch(listUpdate("FAILED", "13")), batch(request("7")),
		}, "HAND_OFF", "s1"},
		{"an incremental update changes the list", []string{
			batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0")),
			batch(`{"kind":"POOL","sheet":2,"members":[{"backend":"s1","campus":"a","availability":"terminating"}]}`,
				listUpdate("INCREMENTAL", "2")), batch(request("7")),
		}, "REFUSE", ""},
		{
			"killed and restarted in one batch",
			[]string{
				batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0"), request("7")),
				batch(`{"kind":"KILLED","agentId":"agent-1"}`, newInstanceMessage, serverList("0", "s3"), listUpdate("SAVED", "0"), request("8")),
			},
			"HAND_OFF", "s3",
		},
		{"requests to a killed instance are ignored", []string{
			batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0")),
			batch(`{"kind":"KILLED","agentId":"agent-1"}`), batch(request("7")),
		}, "", ""},
		{"unknown kinds and fields are ignored", []string{
			batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0")),
			batch(`{"kind":"LATER","agentId":"agent-1","deep":{"a":[1,2,{}]}}`),
		}, "", ""},
		{"invalid settings", []string{
			batch(`{"kind":"NEW_INSTANCE","agentId":"agent-1","prng":1,"env":{"balancers":1,"categories":[]}}`),
		}, "FATAL", ""},
	} {
		rs, err := runLines(t, c.lines...)
		if err != nil || len(rs) != len(c.lines) {
			t.Errorf("%s: %d replies, %v", c.name, len(rs), err)
			continue
		}
		last := rs[len(rs)-1]
		if c.kind == "" {
			if len(last.Actions) > 0 {
				t.Errorf("%s: %v", c.name, last.Actions)
			}
			continue
		}
		a := action(last, c.kind)
		if a == nil || a["agentId"] != "agent-1" || c.backend != "" && a["backend"] != c.backend {
			t.Errorf("%s: %v", c.name, last.Actions)
		}
	}
}

func TestEveryOutcomeGetsReply(t *testing.T) {
	for _, o := range []string{
		"served", "server_error", "turned_away", "no_answer", "no_connection", "connection_lost",
		"called_off", "not_sent", "a_later_one",
	} {
		complete := ""
		if o == "served" {
			complete = `,"complete":true`
		}
		rs, err := runLines(t, batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0"), request("7")),
			batch(`{"kind":"DONE","agentId":"agent-1","call":7,"go":0,"backend":"s1","disposition":"`+o+
				`","latency":900,"stats":{"rif":3.5,"new":1}`+complete+`}`))
		if err != nil {
			t.Fatal(err)
		}
		// the class is idempotent and the only server has been tried: if not served, the request is rejected
		if answered := action(rs[1], "REFUSE") != nil; answered != (o != "served") {
			t.Errorf("%s: %v", o, rs[1].Actions)
		}
	}
}

func TestInvalidLineIsAnError(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"not JSON", `nonsense`, "line 2"},
		{"not a batch", `{"a":1}`, "line 2"},
		{"an unknown list", batch(listUpdate("FULL", "5")), "list 5"},
		{"an unknown mode", batch(listUpdate("ODD", "0")), "ODD"},
		{"cut short", `{"time":5,"items":[{"kind":"TIMER"`, "line 2"},
		{"no kind", batch(`{"agentId":"agent-1"}`), "kind"},
	} {
		rs, err := runLines(t, batch(newInstanceMessage, serverList("0", "s1"), listUpdate("SAVED", "0")), c.line)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", c.name, err)
		}
		if len(rs) != 1 {
			t.Errorf("%s: %d replies", c.name, len(rs))
		}
	}
}
