// Package main has the stand-ins of the review's cases: clients, booking servers and discovery, and what
// starts and ends the agent. Each case is a function; see main.go.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// class is a class of requests in the settings. Times are in milliseconds.
type class struct {
	name, effect, scope   string
	aim, deadline, memory int
	value                 float64
}

// world is one play of a case: the agent's settings, its stand-ins, and the record of what happened.
type world struct {
	dir       string // temporary folder of this play
	tmp       string // the agent's TMPDIR
	listen    string // where clients connect
	config    object
	root      string // root of the repository
	run       string // command that starts an agent
	trouble   bool   // false: the disruption is left out
	discovery *discovery
	servers   []*server
	agents    []*agent
	others    []*exec.Cmd // further processes

	mu      sync.Mutex
	record  *os.File
	start   time.Time
	broken  []string
	lastID  uint64
	logFile *os.File
}

// siteClasses are like the classes of the site.
var siteClasses = []class{
	{"lookup", "retryable", "all", 500, 2500, 5000, 1},
	{"booking", "fragile", "all", 500, 1000, 5000, 2},
}

// fatal ends the play because it could not be run.
type fatal struct{ text string }

func (w *world) fail(format string, args ...any) { panic(fatal{fmt.Sprintf(format, args...)}) }

func (w *world) check(err error, what string) {
	if err != nil {
		w.fail("%s: %v", what, err)
	}
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("RULE BROKEN: %s", text)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
}

// open opens the record and the temporary folder.
func (w *world) open(record string) {
	var err error
	w.record, err = os.Create(record)
	w.check(err, "record")
	w.dir, err = os.MkdirTemp("", "r3")
	w.check(err, "temporary folder")
	w.tmp = filepath.Join(w.dir, "t")
	w.check(os.Mkdir(w.tmp, 0o700), "temporary folder")
	w.logFile, err = os.Create(filepath.Join(w.dir, "agent.log"))
	w.check(err, "log")
	w.lastID = uint64(time.Now().UnixNano())
}

// prepare starts n booking servers and discovery, and makes the configuration. Each booking server is of
// zone a and of cell 1 unless the case changes that before the agent starts.
func (w *world) prepare(n int, classes []class) {
	w.discovery = newDiscovery(w)
	for i := range n {
		w.addServer(fmt.Sprintf("s-%d", i))
	}
	w.listen = freeAddr(w)
	own, second, third := freeAddr(w), freeAddr(w), freeAddr(w)
	w.config = object{
		"name": "n0", "listen": w.listen, "discovery": w.discovery.addr, "seed": fmt.Sprintf("%016x", w.lastID),
		"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": own, "peers": []string{own, second, third}, "peers_all": own,
		"settings": settings(classes),
	}
}

// settings are those of the pages' example, with the classes.
func settings(classes []class) object {
	var categories []object
	for _, c := range classes {
		categories = append(categories, object{
			"name": c.name, "effect": c.effect, "keyScope": c.scope, "aim": c.aim * 1000,
			"deadline": c.deadline * 1000, "memorySpan": c.memory * 1000, "value": c.value,
			"lateWorth": 0.0, "stream": false,
		})
	}
	return object{
		"areas": []string{"a", "b"}, "balancers": 3, "ordinal": 0, "zone": "a", "resolution": 5000, "tier": 0,
		"family": "mesh", "discovery": "on_request", "countedBy": "work", "weightKind": "rough",
		"kinds": []string{"fast"}, "stages": []string{"desk"}, "overShareWorth": 0.05,
		"categories":   categories,
		"clientHabits": object{"marksRetry": true},
		"customers":    []object{{"name": "group-a", "quotaPerS": 380.0, "share": 1.0}},
		"extra":        object{"warmKeys": true},
		"goal":         object{"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.25},
		"bounds": object{
			"cancel": true, "connIdle": 15000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 10666,
			"maxOpen": 26666, "maxRetryAfter": 2000000, "mayTell": true, "probes": false, "retryAfter": true,
			"secondCopies": true, "sendCap": 3, "streamsPerConn": 1,
		},
		"prices": object{
			"connection": 0.0, "crossZone": 0.023, "discovery": 0.0, "handshake": 0.08, "lateFail": 0.04, "moves": 0.0,
			"origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.046,
		},
		"report": object{"fields": []string{}, "how": "silent"},
		"rules": object{
			"answerSlack": 20000, "askWithin": 10000000, "cold": 8900000, "fall": 3000000, "fallMultiple": 3.0,
			"startCapacity": 0.31, "stopSendingWithin": 3000000,
		},
	}
}

// ownIP returns a loopback address of this play's own: a port that is free now could else be another
// play's by the time the agent opens it.
func ownIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, 1+pid/32000%250)
}

// freeAddr returns an address of the agent's whose port is free.
func freeAddr(w *world) string {
	l, err := net.Listen("tcp", ownIP()+":0")
	w.check(err, "free port")
	defer l.Close()
	return l.Addr().String()
}

// agent is one process of the agent.
type agent struct {
	w     *world
	cmd   *exec.Cmd
	ops   string
	ended chan struct{}
	name  string
}

// writeConfig replaces the configuration file.
func (w *world) writeConfig() string {
	raw, err := json.Marshal(w.config)
	w.check(err, "configuration")
	path := filepath.Join(w.dir, "config.json")
	w.check(os.WriteFile(path+".new", raw, 0o600), "configuration")
	w.check(os.Rename(path+".new", path), "configuration")
	return path
}

// startAgent starts a process of the agent by the deploy file's command. It waits until clients may
// come.
func (w *world) startAgent(name string) *agent {
	if w.config["known"] == nil {
		w.config["known"] = w.discovery.whole()
	}
	a := &agent{w: w, ops: freeAddr(w), ended: make(chan struct{}), name: name}
	a.cmd = exec.Command("/bin/sh", "-c", w.run)
	a.cmd.Dir = w.root
	a.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + w.tmp, "LB_NAME=n0", "LB_LISTEN=" + w.listen,
		"LB_DISCOVERY=" + w.config["discovery"].(string), "LB_CONFIG=" + w.writeConfig(), "LB_OPS=" + a.ops,
	}
	a.cmd.Stdout, a.cmd.Stderr = w.logFile, w.logFile
	w.check(a.cmd.Start(), "start of the agent")
	w.agents = append(w.agents, a)
	go func() { _ = a.cmd.Wait(); close(a.ended) }()
	w.log("agent process %s started", name)
	return a
}

// waitReady waits for a yes at the operators' door.
func (a *agent) waitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := a.call("GET", "/ops/readiness", ""); status == 200 {
			a.w.log("agent process %s says yes", a.name)
			return
		}
	}
	a.w.fail("agent process %s is not ready", a.name)
}

// call calls the operators' door.
func (a *agent) call(method, path, body string) (status int, text string) {
	c, err := net.DialTimeout("tcp", a.ops, time.Second)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: ops\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, path, len(body), body)
	status, text, _ = readAnswer(c)
	return status, text
}

func (a *agent) signal(s syscall.Signal) {
	a.w.log("%v to agent process %s", s, a.name)
	_ = a.cmd.Process.Signal(s)
}

// endAll ends all that was started.
func (w *world) endAll() {
	for _, a := range w.agents {
		select {
		case <-a.ended:
		default:
			_ = a.cmd.Process.Kill()
			<-a.ended
		}
	}
	for _, other := range w.others {
		_ = other.Process.Kill()
		_ = other.Wait()
	}
	if w.discovery != nil {
		w.discovery.close()
	}
	for _, s := range w.servers {
		s.close()
	}
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		raw, _ := os.ReadFile(filepath.Join(w.dir, "agent.log"))
		_ = os.WriteFile(keep, raw, 0o600)
	}
	_ = os.RemoveAll(w.dir)
}

// verdict writes the result, and returns the exit code.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		fmt.Fprintf(w.record, "result: broken, %d times\n", len(w.broken))
		fmt.Printf("broken %d times, first: %s\n", len(w.broken), w.broken[0])
		return exitBroken
	}
	fmt.Fprintln(w.record, "result: held")
	fmt.Println("held")
	return exitHeld
}

// nextID returns a new correlation id.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%016x", w.lastID*0x9E3779B97F4A7C15)
}
