package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"

	"dunestep/internal/balancer"
	"dunestep/internal/graphql"
	"dunestep/internal/operator"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// maxTrusted bounds the file of trusted documents.
const maxTrusted = 4 << 20

// listen opens the front socket, and the one for GraphQL where the operator wants it.
func (s settings) listen(front *transport.Listener) error {
	g := s.operator.GraphQL
	if g.Listen == "" {
		return front.Listen(s.Listen, protocol.HTTP)
	}
	form, err := s.graphQL()
	if err != nil {
		return graphQLProblems(err)
	}
	slog.Info("serving GraphQL", "listen", g.Listen, "path", g.Path)
	if g.Listen == operator.OnFront {
		return front.Listen(s.Listen, form.AtPath, protocol.HTTP)
	}
	addr, err := netip.ParseAddrPort(g.Listen)
	if err == nil {
		err = front.Listen(addr, form.Everywhere)
	}
	if err == nil {
		err = front.Listen(s.Listen, protocol.HTTP)
	}
	return err
}

// graphQLProblems says where the problems of graphQL are.
func graphQLProblems(err error) error {
	problems := operator.Problems(err)
	for i, one := range problems {
		problems[i] = fmt.Errorf("operator file: graphql: %w", one)
	}
	return errors.Join(problems...)
}

// graphQL brings the operator's table together with the deployment's settings.
func (s settings) graphQL() (*protocol.GraphQL, error) {
	g := s.operator.GraphQL
	trusted, err := readTrusted(g.Trusted)
	if err != nil {
		return nil, err
	}
	classer, err := graphql.NewClasser(graphql.Rules{
		Classes: s.Settings.Classes,
		Safe:    g.SafeClass, Unsafe: g.UnsafeClass, Queries: g.Queries, Mutations: g.Mutations,
		Batches: g.Batch == operator.BatchStrictest, Trusted: trusted,
		Limits: graphql.Limits{
			Document: int(g.DocumentKB << 10), Tokens: int(g.Tokens), Depth: int(g.Depth),
			Aliases: int(g.Aliases), Operations: int(g.Operations), Batch: int(g.BatchLength),
			CacheBytes: int(g.CacheKB << 10), StoreBytes: int(g.StoreKB << 10),
		},
	})
	first, _, _ := strings.Cut(g.Path[1:], "/")
	taken := slices.ContainsFunc(s.Settings.Classes, func(c balancer.Class) bool { return c.Name == first })
	if taken && g.Listen == operator.OnFront {
		err = errors.Join(err, fmt.Errorf("path %s is that of a class on the front socket", g.Path))
	}
	form := &protocol.GraphQL{
		Path: g.Path, Classer: classer, Classes: s.Settings.Classes,
		DefaultTenant: g.TenantDefault,
	}
	for _, f := range []struct {
		to   *protocol.Source
		text string
	}{{&form.Key, g.Key}, {&form.Tenant, g.Tenant}, {&form.Deadline, g.Deadline}, {&form.ID, g.ID}} {
		var wrong error
		*f.to, wrong = protocol.ParseSource(f.text)
		err = errors.Join(err, wrong)
	}
	return form, err
}

// readTrusted reads the file of trusted documents; without a path there are none.
func readTrusted(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxTrusted+1))
	if err == nil && len(raw) > maxTrusted {
		err = errors.New("the file is longer than 4 MiB")
	}
	var documents map[string]string
	if err == nil {
		documents, err = graphql.ReadTrusted(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return documents, nil
}
