package inflight

// All in usual requests.
const (
	// creditFactor is how much more than their fraction accounts are credited, so that keys can stay with their
	// owners where owners are not as even as keys are. It is also the most by which a server is loaded above the
	// mean.
	creditFactor = 1.3
	// maxCredit is the most that is saved up: a server that was left alone does not get a burst from each of
	// hundreds of agents.
	maxCredit = 1.5
	// minCredit bounds the debt, so that what was long ago does not exclude a server.
	minCredit = -8.0
	// minExtraCharge and maxExtraCharge bound what a request's time adds to what it was charged when it was
	// sent: a quick response was a request all the same, and a long wait shows no more than a fault.
	minExtraCharge, maxExtraCharge = -0.7, 8.0
)

// meanSamples is how many requests the usual time is a decaying mean of.
const meanSamples = 100.0

// Accounts is one agent's view of its servers. The zero value is empty and ready to use.
type Accounts struct {
	charged     float64 // to all accounts, usual requests
	meanSeconds float64 // that a request takes
	samples     float64 // of the mean, up to meanSamples
}

// Account is one server's. The zero value is not open yet.
type Account struct {
	credit      float64 // usual requests
	chargedSeen float64 // of Accounts.charged, what the credit takes into account
	isOpen      bool
}

// Open gives an account its first credit, once: a random fraction, from 0 to 1, of the most, so that many
// agents do not send their first requests to the same server.
func (b *Accounts) Open(a *Account, fraction float64) {
	if !a.isOpen {
		*a = Account{credit: maxCredit * fraction, chargedSeen: b.charged, isOpen: true}
	}
}

// Credit returns what the account has left, in usual requests: with one or more, the server has capacity for
// a request. The fraction, from 0 to 1, is the server's of the capacity of all that may be sent to.
func (b *Accounts) Credit(a *Account, fraction float64) float64 {
	a.credit = max(min(a.credit+creditFactor*fraction*(b.charged-a.chargedSeen), maxCredit), minCredit)
	a.chargedSeen = b.charged
	return a.credit
}

// RequestSent charges a request by its work, in usual requests.
func (b *Accounts) RequestSent(a *Account, work float64) { b.charge(a, work) }

// RequestEnded charges the time of a request beyond the usual, or gives back what it took less, in seconds. A
// time that is not above zero changes nothing.
func (b *Accounts) RequestEnded(a *Account, seconds float64) {
	if !(seconds > 0) {
		return
	}
	b.samples = min(b.samples+1, meanSamples)
	b.meanSeconds += (seconds - b.meanSeconds) / b.samples
	b.charge(a, min(max(seconds/b.meanSeconds-1, minExtraCharge), maxExtraCharge))
}

func (b *Accounts) charge(a *Account, amount float64) {
	a.credit -= amount
	b.charged += amount
}
