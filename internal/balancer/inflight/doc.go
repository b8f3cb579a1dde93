// Package inflight keeps the in-flight time even that one agent of many causes at each upstream server.
//
// An agent that sends to a server only now and then has nothing in flight there when it looks, however loaded
// the server is by what the others send: a limit on its own requests in flight never binds, and all agents
// together follow a popular key, a slow kind of machine or a faulty server. What each of them can keep even
// is the same count over a longer time. Every server has an Account. Each request is charged to it by how
// long it was in flight, in usual requests, and credited to all accounts by their fractions of the capacity,
// with a little in addition: so a server gets its fraction, a slow one gets fewer requests, and a request
// that timed out weighs as much as it waited. As all agents keep such accounts, the sum of what they send is
// bounded for each server, though none knows of the others.
//
// Credit comes with what is sent, not with time: it follows a burst at once, and rests where nothing is sent.
//
// There is no input or output here, and no clock. The same calls give the same answers, to the last digit.
// Accounts are not safe for concurrent use.
package inflight
