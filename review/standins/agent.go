package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// agentProcess is the project's program, started by the deploy file's run.
type agentProcess struct {
	addr, folder string
	cmd          *exec.Cmd
}

// freeAddr returns a loopback address that nothing listens at.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// startAgent starts the agent and waits until it is ready.
func startAgent(name, discoveryAddr string, settings map[string]any) *agentProcess {
	folder, err := os.MkdirTemp("", "review-agent")
	must(err)
	atEnd(func() { _ = os.RemoveAll(folder) })
	a := &agentProcess{addr: freeAddr(), folder: folder}
	tmp := filepath.Join(folder, "tmp")
	must(os.Mkdir(tmp, 0o700))
	config := map[string]any{
		"name": name, "listen": a.addr, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}
	raw, _ := json.MarshalIndent(config, "", " ")
	file := filepath.Join(folder, "config.json")
	must(os.WriteFile(file, raw, 0o600))
	a.cmd = exec.Command("/bin/sh", "-c", mustEnv("RUN"))
	a.cmd.Dir = mustEnv("ROOT")
	a.cmd.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+a.addr, "LB_DISCOVERY="+discoveryAddr,
		"LB_CONFIG="+file, "TMPDIR="+tmp)
	log, err := os.Create(filepath.Join(folder, "log"))
	must(err)
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if this process is killed
	must(a.cmd.Start())
	atEnd(a.kill)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + a.addr + "/health/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return a
			}
		}
		if time.Now().After(end) {
			fatal(fmt.Errorf("the agent was not ready within 20 s"))
		}
	}
}

func (a *agentProcess) signal(s syscall.Signal) { must(a.cmd.Process.Signal(s)) }

// alive reports whether the agent's process still runs.
func (a *agentProcess) alive() bool { return a.cmd.Process.Signal(syscall.Signal(0)) == nil }

func (a *agentProcess) kill() {
	_ = a.cmd.Process.Kill()
	_, _ = a.cmd.Process.Wait()
}

// log returns what the agent has written.
func (a *agentProcess) log() string {
	raw, _ := os.ReadFile(filepath.Join(a.folder, "log"))
	return string(raw)
}

// settings are those of a small deployment, as on the operators' pages: times in microseconds.
func settings() map[string]any {
	type object = map[string]any
	return object{
		"areas": []string{"a"}, "balancers": 1, "ordinal": 0, "zone": "a", "resolution": 5000,
		"discovery": "on_request", "family": "mesh", "kinds": []string{"rapid"}, "tier": 0,
		"stages": []string{"programari"}, "weightKind": "rough", "countedBy": "work", "overShareWorth": 0.05,
		"categories": []object{
			{
				"name": "consult", "aim": 500000, "deadline": 2500000, "effect": "retryable", "keyScope": "all",
				"lateWorth": 0.0, "memorySpan": 5000000, "stream": false, "value": 1.0,
			},
			{
				"name": "rezervare", "aim": 500000, "deadline": 1000000, "effect": "fragile", "keyScope": "all",
				"lateWorth": 0.0, "memorySpan": 5000000, "stream": false, "value": 2.0,
			},
		},
		"clientHabits": object{"marksRetry": true},
		"customers":    []object{{"name": "zambet-plus", "quotaPerS": 95.0, "share": 1.0}},
		"bounds": object{
			"cancel": true, "connIdle": 15000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 10666, "maxOpen": 26666, "maxRetryAfter": 2000000, "mayTell": false, "probes": false,
			"retryAfter": true, "secondCopies": true, "sendCap": 3, "streamsPerConn": 1,
		},
		"extra": object{"warmKeys": true},
		"goal":  object{"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.25},
		"prices": object{
			"connection": 0.0, "crossZone": 0.023, "discovery": 0.0, "handshake": 0.08, "lateFail": 0.04,
			"moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.046,
		},
		"report": object{"fields": []string{}, "how": "silent"},
		"rules": object{
			"answerSlack": 20000, "askWithin": 10000000, "cold": 8900000, "fall": 3000000, "fallMultiple": 3.0,
			"startCapacity": 0.31, "stopSendingWithin": 3000000,
		},
	}
}
