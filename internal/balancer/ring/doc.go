// Package ring is a consistent-hash ring: members that join and leave, each with a number of points, and the
// walk clockwise from a hash over distinct members. Who is a member, and which member of a walk is selected,
// is the user's business.
//
// A member's points are the FarmHash fingerprints of its name with 0, 1, 2 and so on after it, so that every
// ring with the same members is the same, in whatever order they joined. A member that leaves takes along the
// keys that it owned and no others, and has them again when it is back. A member may have more or fewer
// points than usual: fewer are the first of more, so that a changed number moves keys to that member or from
// it only.
//
// A member that joins or leaves costs its own points, however many others there are. There is no input or
// output here, no clock and no randomness. A Ring is not safe for concurrent use.
package ring
