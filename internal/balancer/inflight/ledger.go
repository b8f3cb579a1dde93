// Package inflight keeps even what one balancer of many has its requests wait for at each booking server.
//
// A balancer that sees a server less than once in a while has nothing in flight there when it looks, however
// crowded the server is by what the others send: a limit on its own requests in flight at the moment never
// binds, and all balancers follow a popular key, a slow kind of machine or a server in trouble together. What
// each of them can hold even is the same count over a longer time. Every server has an account. Each request
// that ends is charged to it by how long it was in flight, in usual times, and is credited to all accounts by
// their parts, with a little over: so a server gets its part, one that is slow gets less often what takes it
// longer, and a request that timed out weighs as much as it waited. As all balancers keep such books, the sum
// of what they send is bounded server by server, though none knows of the others.
//
// Credit comes with what is sent, not with the time: books need no rate, follow a burst at once, and rest
// where nothing is sent.
//
// It does no input or output, and knows no clock. The same calls give the same answers. A Accounts is not safe
// for concurrent use.
package inflight

const (
	// over is what accounts are credited beyond their part: room for keys to stay with their owners, where
	// owners are not as even as keys are. Also the most by which one is loaded above the mean in the long run.
	creditFactor = 1.3
	// most is what can be saved up, in usual requests: a server that was left alone is not owed a burst, by
	// each of hundreds of balancers.
	maxCredit = 1.5
	// least bounds the debt, so that what was long ago does not shut a server out.
	minCredit = -8.0
	// minExtraCharge and maxExtraCharge bound what a request's time adds to the one that it is charged when it is
	// sent, in usual requests: one that was served at once was a request all the same, and a long wait says
	// no more than that there is trouble.
	minExtraCharge, maxExtraCharge = -0.7, 8.0
	// meanSamples is how many ends the usual time is the mean of, faded.
	meanSamples = 100.0
)

// Accounts is one balancer's. Its zero value is empty and ready.
type Accounts struct {
	charged     float64 // to all accounts, in usual requests
	meanSeconds float64 // seconds that a request takes
	samples     float64 // of which, up to meanSamples
}

// Account is one server's. Its zero value is not open yet.
type Account struct {
	credit      float64 // usual requests
	chargedSeen float64 // of what was charged to all
	isOpen      bool
}

// Open gives an account what it begins with: a random lot from 0 to 1, so that many balancers do not turn to
// the same server with their first requests.
func (b *Accounts) Open(a *Account, lot float64) {
	if !a.isOpen {
		*a = Account{credit: maxCredit * lot, chargedSeen: b.charged, isOpen: true}
	}
}

// Credit returns what the account has left, in usual requests: one or more has room for a request. Part is
// the server's part of what all that can be sent to are able to do, from 0 to 1.
func (b *Accounts) Credit(a *Account, part float64) float64 {
	a.credit = max(min(a.credit+creditFactor*part*(b.charged-a.chargedSeen), maxCredit), minCredit)
	a.chargedSeen = b.charged
	return a.credit
}

// RequestSent charges a request, by its work in usual requests.
func (b *Accounts) RequestSent(a *Account, units float64) { b.charge(a, units) }

// RequestEnded charges what a request took beyond the usual, or gives back what it took less, in seconds.
func (b *Accounts) RequestEnded(a *Account, took float64) {
	if !(took > 0) {
		return
	}
	b.samples = min(b.samples+1, meanSamples)
	b.meanSeconds += (took - b.meanSeconds) / b.samples
	b.charge(a, min(max(took/b.meanSeconds-1, minExtraCharge), maxExtraCharge))
}

func (b *Accounts) charge(a *Account, units float64) {
	a.credit -= units
	b.charged += units
}
