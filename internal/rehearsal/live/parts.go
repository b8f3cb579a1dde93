package live

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
)

// RunPart is one of the parts that a bench compares with, as a process of its own: it listens at an address
// and passes all on to the servers, in turn. It runs until it is ended.
func RunPart(part, listen string, servers []string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	var turn atomic.Uint64
	next := func() string { return servers[turn.Add(1)%uint64(len(servers))] }
	switch part {
	case PartProxy:
		proxy := &httputil.ReverseProxy{
			ErrorLog: log.New(io.Discard, "", 0),
			Rewrite: func(r *httputil.ProxyRequest) {
				r.Out.URL.Scheme, r.Out.URL.Host = "http", next()
			},
			Transport: &http.Transport{MaxIdleConns: 1024, MaxIdleConnsPerHost: 256, DisableCompression: true},
		}
		return http.Serve(l, proxy)
	case PartCopier:
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			go copyBetween(c, next())
		}
	}
	return fmt.Errorf("unknown part %q", part)
}

// copyBetween passes bytes both ways until one side ends.
func copyBetween(c net.Conn, server string) {
	defer c.Close()
	s, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		pass(s, c)
		_ = s.Close()
	}()
	pass(c, s)
}

// pass copies by reading and writing: the system's own short cut is no measure for a program that looks at
// what it passes on.
func pass(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}
