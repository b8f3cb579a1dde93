package inflight

// Limits in usual requests: one is the charge of a request that takes the mean time.
const (
	// creditFactor is the credit of an account for each charge, as a multiple of its fraction of the charge. The
	// surplus above 1 lets keys stay with their owners where the load is less even over owners than over keys.
	// The factor is also the maximum load of a server relative to the mean.
	creditFactor = 1.3
	// maxCredit is the maximum credit. It keeps a server that got nothing for a while from getting a burst from
	// each of hundreds of agents.
	maxCredit = 1.5
	// minCredit limits the debt, so that requests of long ago do not exclude a server.
	minCredit = -8.0
	// minExtraCharge and maxExtraCharge limit what the time of a request adds to its charge when it ends: a
	// quick response was still a request, and a long wait indicates a fault rather than load.
	minExtraCharge, maxExtraCharge = -0.7, 8.0
)

// meanSamples is the number of requests that the decaying mean time covers.
const meanSamples = 100.0

// Accounts is one agent's state of all its servers. The zero value is empty and ready to use.
type Accounts struct {
	charged     float64 // sum of all charges, in usual requests
	meanSeconds float64 // mean time of a request
	samples     float64 // number of requests in the mean, up to meanSamples
}

// Account is the account of one server. The zero value is not open yet.
type Account struct {
	credit      float64 // usual requests
	chargedSeen float64 // value of Accounts.charged up to which credit is included
	isOpen      bool
}

// Open gives an account that is not open yet its first credit: a random fraction, from 0 to 1, of maxCredit,
// so that many agents do not send their first requests to the same server.
func (b *Accounts) Open(a *Account, fraction float64) {
	if !a.isOpen {
		*a = Account{credit: maxCredit * fraction, chargedSeen: b.charged, isOpen: true}
	}
}

// Credit returns the credit of an account in usual requests. The server has capacity for a request if it is
// at least one. The fraction, from 0 to 1, is the server's fraction of the capacity of all usable servers.
func (b *Accounts) Credit(a *Account, fraction float64) float64 {
	a.credit = max(min(a.credit+creditFactor*fraction*(b.charged-a.chargedSeen), maxCredit), minCredit)
	a.chargedSeen = b.charged
	return a.credit
}

// RequestSent charges a request by its work, in usual requests.
func (b *Accounts) RequestSent(a *Account, work float64) { b.charge(a, work) }

// RequestEnded charges the time of a request beyond the mean, or refunds what it took less. The time is in
// seconds; one that is not above zero changes nothing.
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
