// Package modelcheck contains the common parts of exhaustive searches of small models: the set of the visited
// states, and a pool of workers that offer parts of the search to each other.
//
// Both are safe for concurrent use, except for StateSet.Count. The order in which workers visit states is not
// determined; the set of visited states of a complete search is.
package modelcheck
