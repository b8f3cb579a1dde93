package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// errCannotRun means that a case could not be carried out: run.sh exits with 2.
var errCannotRun = errors.New("the case could not run")

// world is one small deployment: discovery, booking servers and agents on loopback, and the record of what
// was sent, answered and run.
type world struct {
	root    string // of the repository
	folder  string // temporary
	trouble bool   // whether the disruption is played
	began   time.Time

	mu     sync.Mutex
	record *os.File
	agents []*agent
}

func newWorld(recordPath string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{
		root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record,
	}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all agents and removes the temporary folder.
func (w *world) close() {
	for _, a := range w.agents {
		a.kill()
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// freeAddress returns an address of loopback that is free at the moment.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// agent is one process of dunestep.
type agent struct {
	name    string
	listen  string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// runCommand is the command `run` of the deploy file.
func (w *world) runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(raw)
	if found == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(found[1]), nil
}

// startAgent starts an agent. It does not wait until it is ready.
func (w *world) startAgent(name, discovery string, settings map[string]any) (*agent, error) {
	run, err := w.runCommand()
	if err != nil {
		return nil, err
	}
	listen := freeAddress()
	tmp, err := os.MkdirTemp(w.folder, "tmp-")
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(w.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", run)
	command.Dir = w.root
	command.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+listen, "LB_DISCOVERY="+discovery,
		"LB_CONFIG="+path, "TMPDIR="+tmp)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	a := &agent{name: name, listen: listen, command: command, done: make(chan struct{})}
	go func() {
		a.err = command.Wait()
		close(a.done)
		w.note("agent %s: process %d ended: %v", a.name, command.Process.Pid, a.err)
	}()
	w.mu.Lock()
	w.agents = append(w.agents, a)
	w.mu.Unlock()
	w.note("agent %s: process %d started", name, command.Process.Pid)
	return a, nil
}

func (a *agent) signal(s syscall.Signal) { _ = a.command.Process.Signal(s) }

func (a *agent) hasEnded() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (a *agent) kill() {
	if !a.hasEnded() {
		a.signal(syscall.SIGCONT)
		a.signal(syscall.SIGKILL)
		<-a.done
	}
}

// waitReady waits until the agent reports that it is ready.
func (a *agent) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + a.listen + "/health/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: agent %s is not ready", errCannotRun, a.name)
}

// settings returns the settings of the example on the operators' page, for a single agent.
func settings() (set map[string]any) {
	if err := json.Unmarshal([]byte(settingsText), &set); err != nil {
		panic(err)
	}
	return set
}

const settingsText = `{"areas": ["a", "b", "c", "d"],
 "balancers": 1,
 "bounds": {"cancel": true, "connIdle": 15000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
  "cpuUsPerS": 10666, "maxOpen": 26666, "maxRetryAfter": 2000000, "mayTell": false, "probes": false,
  "retryAfter": true, "secondCopies": true, "sendCap": 3, "streamsPerConn": 1},
 "categories": [
  {"aim": 500000, "deadline": 2500000, "effect": "retryable", "keyScope": "all", "lateWorth": 0.0,
   "memorySpan": 5000000, "name": "lookup", "stream": false, "value": 1.0},
  {"aim": 500000, "deadline": 1000000, "effect": "fragile", "keyScope": "all", "lateWorth": 0.0,
   "memorySpan": 5000000, "name": "booking", "stream": false, "value": 2.0}],
 "clientHabits": {"marksRetry": true},
 "countedBy": "work",
 "customers": [{"name": "group-a", "quotaPerS": 95.0, "share": 0.25},
  {"name": "group-b", "quotaPerS": 84.0, "share": 0.22},
  {"name": "group-c", "quotaPerS": 76.0, "share": 0.20},
  {"name": "group-d", "quotaPerS": 57.0, "share": 0.15},
  {"name": "group-e", "quotaPerS": 38.0, "share": 0.10},
  {"name": "group-f", "quotaPerS": 30.0, "share": 0.08}],
 "discovery": "on_request",
 "extra": {"warmKeys": true},
 "family": "mesh",
 "goal": {"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.25},
 "kinds": ["fast", "slow"],
 "ordinal": 0,
 "overShareWorth": 0.05,
 "prices": {"connection": 0.0, "crossZone": 0.023, "discovery": 0.0, "handshake": 0.08, "lateFail": 0.04,
  "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.046},
 "report": {"fields": [], "how": "silent"},
 "resolution": 5000,
 "rules": {"answerSlack": 20000, "askWithin": 10000000, "cold": 8900000, "fall": 3000000, "fallMultiple": 3.0,
  "startCapacity": 0.31, "stopSendingWithin": 3000000},
 "stages": ["desk"],
 "tier": 0,
 "weightKind": "rough",
 "zone": "d"}`
