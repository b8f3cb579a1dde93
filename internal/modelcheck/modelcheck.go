// Package modelcheck holds what exhaustive searches of a small model share: the set of the states that were
// visited, and a pool of workers that offer each other parts of the search.
//
// Both are used by several goroutines at once. The order in which workers visit states is not determined; the
// set of visited states of a complete search is.
package modelcheck
