package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serverCount = 12
	// The times for which clients wait, by class.
	safeDeadline, unsafeDeadline = 2500 * time.Millisecond, 1000 * time.Millisecond
)

// world is everything but the agent.
type world struct {
	options
	rec       *record
	folder    string
	pauseMS   int    // shortest pause of a usual client
	listen    string // where the agent listens
	discovery string
	servers   []*server
	closers   []func()
	runs      *runs
	agent     *exec.Cmd
	exited    chan struct{}
}

func newWorld(o options, rec *record) (*world, error) {
	w := &world{
		options: o, rec: rec, pauseMS: 20, runs: &runs{count: map[string]int{}}, exited: make(chan struct{}),
	}
	var err error
	if w.folder, err = os.MkdirTemp("", "standins5-"); err != nil {
		return nil, err
	}
	if err = os.Mkdir(filepath.Join(w.folder, "tmp"), 0o700); err != nil {
		return nil, err
	}
	for i := range serverCount {
		s := &server{id: fmt.Sprintf("s-%02d", i), zone: string(rune('a' + i%4)), rec: rec}
		if o.second {
			s.addr, err = w.serveSecond(s.id)
		} else {
			s.addr, err = w.serve(http.HandlerFunc(s.handle))
		}
		if err != nil {
			return nil, err
		}
		w.servers = append(w.servers, s)
	}
	if w.discovery, err = w.serve(http.HandlerFunc(w.handleDiscovery)); err != nil {
		return nil, err
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.listen = free.Addr().String()
	return w, free.Close()
}

// serve starts an HTTP server on a free port of loopback.
func (w *world) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, IdleTimeout: 15 * time.Second}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// serveSecond starts a secondServer.
func (w *world) serveSecond(id string) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &secondServer{
		id: id, rec: w.rec, lateMS: w.lateMS, trouble: w.trouble, full: w.full, runs: w.runs,
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	w.closers = append(w.closers, func() { _ = l.Close() })
	return l.Addr().String(), nil
}

// handleDiscovery answers with the whole list, and keeps a watch open with an empty line every 2 s: the list
// does not change.
func (w *world) handleDiscovery(rw http.ResponseWriter, r *http.Request) {
	type entry struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Zone    string  `json:"zone"`
		Kind    string  `json:"kind"`
		Cell    int     `json:"cell"`
		State   string  `json:"state"`
		Weight  float64 `json:"weight"`
		Started int64   `json:"started_ms"`
	}
	list := struct {
		Version int     `json:"version"`
		Full    bool    `json:"full"`
		Servers []entry `json:"servers"`
	}{Version: 41, Full: true}
	for i, s := range w.servers {
		list.Servers = append(list.Servers, entry{s.id, s.addr, s.zone, "m1", i % 3, "active", 1, 0})
	}
	raw, _ := json.Marshal(list)
	if r.URL.Query().Get("watch") != "1" {
		rw.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = rw.Write(raw)
		return
	}
	flusher := rw.(http.Flusher)
	_, _ = rw.Write(append(raw, '\n'))
	for {
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = rw.Write([]byte("\n"))
		}
	}
}

// config returns the agent's configuration, with the settings of a small deployment.
func (w *world) config() map[string]any {
	class := func(name, effect string, deadline time.Duration, value float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "aim": 500000, "deadline": deadline.Microseconds(), "value": value,
			"keyScope": "all", "memorySpan": 5000000, "lateWorth": 0.0, "stream": false,
		}
	}
	return map[string]any{
		"name": "n0", "listen": w.listen, "discovery": w.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": w.memoryMB, "sockets": w.sockets},
		"settings": map[string]any{
			"balancers": 1, "ordinal": 0, "zone": "a", "areas": []string{"a", "b", "c", "d"}, "kinds": []string{"m1"},
			"resolution": 5000, "discovery": "on_request", "family": "mesh", "weightKind": "rough",
			"categories": []any{
				class(w.safe, "retryable", safeDeadline, 1), class(w.unsafe, "fragile", unsafeDeadline, 2),
			},
			"customers":    []any{map[string]any{"name": "t1", "quotaPerS": 1000.0, "share": 1.0}},
			"clientHabits": map[string]any{"marksRetry": true},
			"bounds": map[string]any{
				"cancel": true, "connIdle": 15000000, "connectTimeout": 250000, "cpuUsPerS": 10666,
				"maxOpen": 26666, "maxRetryAfter": 2000000, "mayTell": false, "probes": false, "retryAfter": true,
				"secondCopies": true, "sendCap": 3, "streamsPerConn": 1,
			},
			"rules": map[string]any{
				"answerSlack": 20000, "askWithin": 10000000, "cold": 8900000, "fall": 3000000,
				"fallMultiple": 3.0, "startCapacity": 0.31, "stopSendingWithin": 3000000,
			},
			"goal": map[string]any{"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.25},
			"prices": map[string]any{
				"crossZone": 0.023, "handshake": 0.08, "lateFail": 0.04, "peer": 0.01, "waste": 0.046,
			},
		},
	}
}

// runCommand returns the command of the deploy file that starts an agent.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if found == nil {
		return "", errors.New("the deploy file names no run")
	}
	return string(found[1]), nil
}

// startAgent starts the agent and waits until it is ready.
func (w *world) startAgent() error {
	command, err := runCommand(w.root)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(w.config())
	if err != nil {
		return err
	}
	config := filepath.Join(w.folder, "config.json")
	if err = os.WriteFile(config, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, "agent.log"))
	if err != nil {
		return err
	}
	w.agent = exec.Command("/bin/sh", "-c", command)
	w.agent.Dir, w.agent.Stdout, w.agent.Stderr = w.root, log, log
	w.agent.Env = append(os.Environ(), "LB_NAME=n0", "LB_LISTEN="+w.listen, "LB_DISCOVERY="+w.discovery,
		"LB_CONFIG="+config, "TMPDIR="+filepath.Join(w.folder, "tmp"))
	w.agent.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err = w.agent.Start(); err != nil {
		return err
	}
	go func() {
		err := w.agent.Wait()
		w.rec.line("the agent has ended: %v", err)
		close(w.exited)
	}()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + w.listen + "/health/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			w.rec.line("the agent is ready: memory_mb %d, sockets %d", w.memoryMB, w.sockets)
			return nil
		}
	}
	return errors.New("the agent did not become ready")
}

// hasExited reports whether the agent has ended.
func (w *world) hasExited() bool {
	select {
	case <-w.exited:
		return true
	default:
		return false
	}
}

// memory returns the agent's memory in KB: private is its own memory without pages of files, such as the
// program's, and resident is all of it.
func (w *world) memory() (private, resident int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.agent.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		name, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		switch name {
		case "RssAnon":
			private = kb
		case "VmRSS":
			resident = kb
		}
	}
	return private, resident
}

// close ends the agent, and all stand-ins.
func (w *world) close() {
	if w.agent != nil && !w.hasExited() {
		_ = w.agent.Process.Kill()
		<-w.exited
	}
	for _, end := range w.closers {
		end()
	}
	if raw, err := os.ReadFile(filepath.Join(w.folder, "agent.log")); err == nil {
		w.rec.line("the agent's log:\n%s", raw)
	}
	_ = os.RemoveAll(w.folder)
}

// server is a server that works as the protocol page says.
type server struct {
	id, zone, addr string
	rec            *record
	mu             sync.Mutex
	ran            int
}

// handle runs a request for 75 to 140 ms and answers with its id.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	s.ran++
	work := time.Duration(75+s.ran*13%65) * time.Millisecond
	s.mu.Unlock()
	s.rec.line("run      %s at %s", id, s.id)
	time.Sleep(work)
	body := id + " by " + s.id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
