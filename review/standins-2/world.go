package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// world is one agent with what is around it: clients, booking servers, discovery and the platform.
type world struct {
	root    string // of the repository
	dir     string // temporary folder
	tmp     string // the agents' $TMPDIR; empty: a folder below dir
	trouble bool
	record  *record

	servers   []*server
	discovery *discovery
	settings  object
	limits    object
	listen    string
	config    string // path of the configuration file
	agents    []*agent
	lastID    atomic.Uint64
}

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// noRun ends a case that could not run.
type noRun struct{ why string }

func cannotRun(format string, args ...any) { panic(noRun{fmt.Sprintf(format, args...)}) }

// freeAddr returns a loopback address with a port that the system picked.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newWorld returns a world with as many booking servers, and settings like those of a small deployment.
func newWorld(root string, r *record, trouble bool, servers int) *world {
	dir, err := os.MkdirTemp("", "r2")
	if err != nil {
		cannotRun("no temporary folder: %v", err)
	}
	w := &world{root: root, dir: dir, trouble: trouble, record: r, settings: defaultSettings()}
	w.limits = object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	w.lastID.Store(uint64(time.Now().UnixNano()))
	w.config = filepath.Join(dir, "config.json")
	for i := range servers {
		w.servers = append(w.servers, startServer(w, fmt.Sprintf("booking-%d", i+1)))
	}
	w.discovery = startDiscovery(w, "discovery", w.entries())
	w.listen = freeAddr()
	return w
}

// defaultSettings are the settings of the site's own example, for one agent.
func defaultSettings() object {
	return object{
		"balancers": 1, "ordinal": 0, "zone": "a", "resolution": 5000, "discovery": "on_request",
		"tier": 0, "areas": []string{"a"}, "kinds": []string{"fast"}, "stages": []string{"desk"},
		"categories": []object{
			{
				"name": "lookup", "aim": 500000, "deadline": 2500000, "effect": "retryable", "value": 1.0,
				"keyScope": "all", "memorySpan": 5000000,
			},
			{
				"name": "booking", "aim": 500000, "deadline": 1000000, "effect": "fragile", "value": 2.0,
				"keyScope": "all", "memorySpan": 5000000,
			},
		},
		"customers":    []object{{"name": "group-a", "quotaPerS": 1000.0, "share": 1.0}},
		"clientHabits": object{"marksRetry": true},
		"bounds": object{
			"sendCap": 3, "cancel": true, "mayTell": false, "probes": false, "retryAfter": true,
			"maxRetryAfter": 2000000, "connIdle": 15000000, "connectTimeout": 250000, "secondCopies": true,
			"streamsPerConn": 1, "cpuUsPerS": 1000000, "maxOpen": 26666,
		},
		"rules": object{
			"answerSlack": 20000, "askWithin": 10000000, "cold": 8900000, "fall": 3000000,
			"fallMultiple": 3.0, "startCapacity": 0.31, "stopSendingWithin": 3000000,
		},
		"goal":   object{"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.25},
		"prices": object{"crossZone": 0.023, "lateFail": 0.04, "peer": 0.01, "waste": 0.046},
	}
}

func (w *world) entries() (all []object) {
	for _, s := range w.servers {
		all = append(all, s.entry("active"))
	}
	return all
}

// writeConfig replaces the configuration file; it names discovery's address.
func (w *world) writeConfig(discovery string) {
	c := object{
		"name": "n0", "listen": w.listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", w.newID()),
		"limits":   w.limits,
		"known":    object{"version": 1, "full": true, "servers": w.entries()},
		"settings": w.settings,
	}
	raw, err := json.MarshalIndent(c, "", " ")
	if err == nil {
		err = os.WriteFile(w.config+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(w.config+".new", w.config)
	}
	if err != nil {
		cannotRun("configuration: %v", err)
	}
}

func (w *world) newID() uint64 { return w.lastID.Add(1) }

// correlationID returns a new correlation id.
func (w *world) correlationID() string { return fmt.Sprintf("%016x", w.newID()) }

// agent is a process of the agent.
type agent struct {
	w      *world
	name   string
	ops    string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

var runKey = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startAgent starts the program by the deploy file's run, with arguments after it.
func (w *world) startAgent(name, discovery string, arguments ...string) *agent {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	run := runKey.FindStringSubmatch(string(raw))
	if run == nil {
		cannotRun("the deploy file has no run")
	}
	tmp := w.tmp
	if tmp == "" {
		tmp = filepath.Join(w.dir, "t")
	}
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		cannotRun("TMPDIR: %v", err)
	}
	a := &agent{w: w, name: name, ops: freeAddr(), exited: make(chan struct{})}
	a.cmd = exec.Command("/bin/sh", "-c", strings.Join(append([]string{run[1]}, arguments...), " "))
	a.cmd.Dir = w.root
	a.cmd.Env = append(os.Environ(), "LB_NAME=n0", "LB_LISTEN="+w.listen, "LB_DISCOVERY="+discovery,
		"LB_CONFIG="+w.config, "LB_OPS="+a.ops, "TMPDIR="+tmp)
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := a.cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	w.record.logf("platform: started %s, pid %d, LB_DISCOVERY=%s", name, a.cmd.Process.Pid, discovery)
	go func() {
		a.err = a.cmd.Wait()
		_ = log.Close()
		w.record.logf("platform: %s has ended: %v", name, a.cmd.ProcessState)
		close(a.exited)
	}()
	w.agents = append(w.agents, a)
	return a
}

// signal sends a signal to the agent.
func (a *agent) signal(s syscall.Signal) {
	a.w.record.logf("platform: %v to %s", s, a.name)
	_ = a.cmd.Process.Signal(s)
}

// hasExited reports whether the process has ended.
func (a *agent) hasExited() bool {
	select {
	case <-a.exited:
		return true
	default:
		return false
	}
}

// opsCall makes a call at the operators' door and returns the status; 0: no answer.
func (a *agent) opsCall(method, path, body string) int {
	r, err := http.NewRequest(method, "http://"+a.ops+path, strings.NewReader(body))
	if err != nil {
		cannotRun("call: %v", err)
	}
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// waitReady waits until the agent says yes to clients, or at its operators' door.
func (a *agent) waitReady(limit time.Duration) {
	if !waitFor(limit, func() bool { return a.opsCall(http.MethodGet, "/ops/readiness", "") == http.StatusOK }) {
		cannotRun("%s is not ready within %v", a.name, limit)
	}
	a.w.record.logf("platform: %s is ready", a.name)
}

func waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// close ends all processes and servers, and keeps the agents' logs in the record.
func (w *world) close() {
	for _, a := range w.agents {
		if !a.hasExited() {
			_ = a.cmd.Process.Kill()
		}
		<-a.exited
	}
	for _, a := range w.agents {
		raw, _ := os.ReadFile(filepath.Join(w.dir, a.name+".log"))
		w.record.logf("log of %s:\n%s", a.name, strings.ReplaceAll(string(raw), w.dir, "TMP"))
	}
	_ = os.RemoveAll(w.dir)
}
