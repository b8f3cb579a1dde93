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

// RunPart runs one of the proxies that RunBench compares the agent with, in a process of its own. It
// listens at an address and forwards to the servers in rotation. It returns only with an error.
func RunPart(part, listen string, servers []string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	var count atomic.Uint64
	next := func() string { return servers[count.Add(1)%uint64(len(servers))] }
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
			go proxyConn(c, next())
		}
	}
	return fmt.Errorf("unknown part %q", part)
}

// proxyConn copies bytes in both directions until one side closes.
func proxyConn(c net.Conn, server string) {
	defer c.Close()
	s, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		copyBytes(s, c)
		_ = s.Close()
	}()
	copyBytes(c, s)
}

// copyBytes copies with plain reads and writes. It avoids splice(2), which would not be comparable to a
// program that inspects the data it forwards.
func copyBytes(to io.Writer, from io.Reader) {
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
