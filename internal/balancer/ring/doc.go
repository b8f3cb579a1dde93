// Package ring implements a consistent-hash ring: members that join and leave, each with a number of points,
// and the walk clockwise from a hash over distinct members. The caller decides who is a member and which
// member of a walk is selected.
//
// A member's points are the FarmHash fingerprints of its name followed by 0, 1, 2 and so on, so that rings
// with the same members are the same, in whatever order they joined. A member that leaves gives up the keys
// that it owned and no others, and owns them again after it has rejoined. A member may have more or fewer
// points than usual. Fewer points are the first ones of more points, so that a change of their number moves
// keys only to or from that member.
//
// The cost of a join or leave depends on the member's own points, not on the number of other members. The
// package does no I/O and uses neither a clock nor random numbers. A Ring is not safe for concurrent use.
package ring
