package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"

	"dunestep/internal/balancer"
	"dunestep/internal/graphql"
	"dunestep/internal/operator"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// maxTrustedBytes bounds the file of trusted documents.
const maxTrustedBytes = 4 << 20

var errTrustedTooLong = errors.New("the file is longer than 4 MiB")

// listen opens the main socket, and a separate one for GraphQL where the operator file configures it.
func (s settings) listen(l *transport.Listener) error {
	g := s.operator.GraphQL
	if g.Listen == "" {
		return l.Listen(s.Listen, protocol.HTTP)
	}
	form, err := s.graphQL()
	if err != nil {
		return graphQLProblems(err)
	}
	slog.Info("serving GraphQL", "listen", g.Listen, "path", g.Path)
	if g.Listen == operator.MainListener {
		return l.Listen(s.Listen, form.AtPath, protocol.HTTP)
	}
	addr, err := netip.ParseAddrPort(g.Listen)
	if err != nil {
		return fmt.Errorf("operator file: graphql: listen: %w", err)
	}
	if err := l.Listen(addr, form.AnyPath); err != nil {
		return err
	}
	return l.Listen(s.Listen, protocol.HTTP)
}

// graphQLProblems prefixes each problem that graphQL has returned with its place in the operator file.
func graphQLProblems(err error) error {
	problems := operator.Problems(err)
	for i, problem := range problems {
		problems[i] = fmt.Errorf("operator file: graphql: %w", problem)
	}
	return errors.Join(problems...)
}

// graphQL returns the protocol of GraphQL requests from the operator file and the deployment's settings. The
// error joins all problems.
func (s settings) graphQL() (*protocol.GraphQL, error) {
	g := s.operator.GraphQL
	trusted, err := readTrusted(g.TrustedDocuments)
	if err != nil {
		return nil, err
	}
	classifier, err := graphql.NewClassifier(graphql.Rules{
		Classes: s.Settings.Classes,
		Safe:    g.IdempotentClass, Unsafe: g.NonIdempotentClass, Queries: g.Queries, Mutations: g.Mutations,
		Batches: g.Batch == operator.BatchStrictest, Trusted: trusted,
		Limits: graphql.Limits{
			MaxDocumentBytes: int(g.MaxDocumentKB << 10), MaxTokens: int(g.MaxTokens), MaxDepth: int(g.MaxDepth),
			MaxAliases: int(g.MaxAliases), MaxOperations: int(g.MaxOperations), MaxBatchLength: int(g.MaxBatchLength),
			CacheBytes: int(g.CacheKB << 10), HashStoreBytes: int(g.HashStoreKB << 10),
		},
	})
	if g.Listen == operator.MainListener && s.isClassPath(g.Path) {
		err = errors.Join(err, fmt.Errorf("path %s is that of a class on the main socket", g.Path))
	}
	form := &protocol.GraphQL{
		Path: g.Path, Classifier: classifier, Classes: s.Settings.Classes,
		DefaultTenant: g.TenantDefault,
	}
	for _, source := range []struct {
		into *protocol.Source
		text string
	}{{&form.Key, g.Key}, {&form.Tenant, g.Tenant}, {&form.Deadline, g.Deadline}, {&form.ID, g.RequestID}} {
		var parseErr error
		*source.into, parseErr = protocol.ParseSource(source.text)
		err = errors.Join(err, parseErr)
	}
	return form, err
}

// isClassPath reports whether the first segment of a path names a class, as it does in plain requests.
func (s settings) isClassPath(path string) bool {
	first, _, _ := strings.Cut(path[1:], "/")
	return slices.ContainsFunc(s.Settings.Classes, func(c balancer.Class) bool { return c.Name == first })
}

// readTrusted reads the file of trusted documents. An empty path has none.
func readTrusted(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := readBounded(path, maxTrustedBytes+1)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxTrustedBytes {
		return nil, fmt.Errorf("%s: %w", path, errTrustedTooLong)
	}
	documents, err := graphql.ParseTrustedDocuments(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return documents, nil
}
