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

// settings are those of the project's example: one agent, two classes, times in microseconds.
func settings() map[string]any {
	raw, err := os.ReadFile(filepath.Join(mustEnv("ROOT"), "example", "config.json"))
	must(err)
	var config struct {
		Settings map[string]any `json:"settings"`
	}
	must(json.Unmarshal(raw, &config))
	return config.Settings
}

// The effects of classes.
const (
	safeEffect   = "retryable"
	unsafeEffect = "fragile"
	dedupEffect  = "dedup"
)

// classOf returns the settings of the class with an effect.
func classOf(set map[string]any, effect string) map[string]any {
	for _, c := range set["categories"].([]any) {
		if class := c.(map[string]any); class["effect"] == effect {
			return class
		}
	}
	fatal(fmt.Errorf("the settings have no class whose effect is %s", effect))
	return nil
}
