package router

import (
	"strings"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/rendezvous"
)

const (
	// maxLoan bounds how long slots are lent.
	maxLoan = 2 * time.Second
	// loanMargin covers the drift between the clocks of two VMs during one loan, and a request in transit.
	loanMargin = 300 * time.Millisecond
	// loadReportDelay is how long it may take until a sent request is included in the endpoint's load.
	loadReportDelay = 250 * time.Millisecond
	// incarnationSeparator separates VM name and incarnation in the caller name that endpoints see.
	incarnationSeparator = "/"
)

// Allowance returns vm's part of total at an endpoint: an equal part for each of vms, and one more for the first of them
// in rendezvous order if there is a remainder. The parts of all vms add up to total.
func Allowance(total int, endpoint string, vms []string, vm string) int {
	if len(vms) == 0 {
		return 0
	}
	part, remainder := total/len(vms), total%len(vms)
	for i, name := range rendezvous.Order(endpoint, vms) {
		if name != vm {
			continue
		}
		if i < remainder {
			return part + 1
		}
		return part
	}
	return 0
}

// loan is a number of slots lent to or borrowed from a VM until a time. vm is empty if the borrower is not known.
type loan struct {
	vm    string
	slots int
	until time.Time
}

// slots tracks one endpoint's slots at this VM. The lock of the pool guards it.
type slots struct {
	allowance int
	inFlight  int
	// lingering is the number of calls whose outcome is unknown: the endpoint may still run them.
	lingering int
	// lastLingering is when the last of them was given up; an earlier load may not include it yet.
	lastLingering time.Time
	// previousInFlight is the number of calls in flight of earlier incarnations of this VM. loadKnown is false until the
	// first answer to a load query.
	previousInFlight int
	loadKnown        bool
	lent             []loan
	// borrowed loans end loanMargin early, counted from the sending of the loan request, because the lender counts from
	// its arrival.
	borrowed []loan
}

// newSlots returns the slots of a VM that has just started at now. Its earlier incarnation may have lent slots that
// this one does not know of, so as many as it may lend count as lent until the longest possible loan is over.
func newSlots(allowance int, now time.Time) slots {
	s := slots{allowance: allowance}
	if n := s.maxLent(); n > 0 {
		s.lent = []loan{{slots: n, until: now.Add(maxLoan + loanMargin)}}
	}
	return s
}

// maxLent is half of the allowance, so that a restarted VM can use the rest until earlier loans have expired.
func (s *slots) maxLent() int { return s.allowance / 2 }

func (s *slots) totalLent() int {
	sum := 0
	for _, l := range s.lent {
		sum += l.slots
	}
	return sum
}

func (s *slots) totalBorrowed(now time.Time) int {
	sum := 0
	kept := s.borrowed[:0]
	for _, l := range s.borrowed {
		if now.Before(l.until) {
			sum += l.slots
			kept = append(kept, l)
		}
	}
	s.borrowed = kept
	return sum
}

// free returns how many more calls may start at now.
func (s *slots) free(now time.Time) int {
	if !s.loadKnown {
		return 0
	}
	return s.allowance - s.totalLent() + s.totalBorrowed(now) - s.previousInFlight - s.lingering - s.inFlight
}

// lend lends vm up to wanted free slots and returns how many it lent.
func (s *slots) lend(vm string, wanted int, duration time.Duration, now time.Time) int {
	s.totalBorrowed(now)
	if len(s.borrowed) > 0 {
		// Borrowed slots are not lent on: their loan ends without this VM knowing whether they are still in use.
		return 0
	}
	given := min(wanted, s.maxLent()-s.totalLent(), s.free(now))
	if given <= 0 {
		return 0
	}
	s.lent = append(s.lent, loan{vm: vm, slots: given, until: now.Add(duration + loanMargin)})
	return given
}

// mayBorrow reports whether this VM may borrow: not before the load is known, nor while it has lent slots. A lender
// reclaims its slots once the borrower's usage is within its static allowance, which for a VM that has lent slots itself
// is more than it may use.
func (s *slots) mayBorrow() bool { return s.loadKnown && len(s.lent) == 0 }

// borrow adds n slots that another VM lent for duration in answer to a loan request sent at sentAt.
func (s *slots) borrow(vm string, n int, duration time.Duration, sentAt time.Time) {
	if n > 0 && s.mayBorrow() {
		s.borrowed = append(s.borrowed, loan{vm: vm, slots: n, until: sentAt.Add(duration - loanMargin)})
	}
}

// observation is one answer to a load query, with what is needed to apply it.
type observation struct {
	load   infra.EndpointLoad
	sentAt time.Time
	// reportedCalls is the number of own calls that began at least loadReportDelay before the query was sent and had not
	// ended when the answer arrived: the load certainly includes them.
	reportedCalls int
	vm            string
	from          string
	// allowances holds the static allowance of each configured entry VM of the zone.
	allowances map[string]int
}

// observe corrects the counts by the load that the endpoint reports.
func (s *slots) observe(o observation) {
	usage := usageByVM(o.load)
	own := o.load.InFlight[o.from]
	s.previousInFlight = max(0, usage[o.vm]-own)
	s.loadKnown = true
	if !o.sentAt.Before(s.lastLingering.Add(loadReportDelay)) {
		s.lingering = min(s.lingering, max(0, own-o.reportedCalls))
	}
	s.reclaim(o, usage)
}

// reclaim takes back lent slots whose loan is over, once the load shows the borrower within its own allowance. After the
// end of the loan the borrower starts no calls beyond that.
func (s *slots) reclaim(o observation, usage map[string]int) {
	kept := s.lent[:0]
	for _, l := range s.lent {
		if o.sentAt.Before(l.until) || !withinAllowance(l.vm, usage, o) {
			kept = append(kept, l)
		}
	}
	s.lent = kept
}

// withinAllowance reports whether the borrower, or every other VM if the borrower is not known, is within its allowance.
func withinAllowance(borrower string, usage map[string]int, o observation) bool {
	if borrower != "" {
		return usage[borrower] <= o.allowances[borrower]
	}
	for vm, allowance := range o.allowances {
		if vm != o.vm && usage[vm] > allowance {
			return false
		}
	}
	return true
}

func usageByVM(load infra.EndpointLoad) map[string]int {
	usage := map[string]int{}
	for from, n := range load.InFlight {
		vm, _, _ := strings.Cut(from, incarnationSeparator)
		usage[vm] += n
	}
	return usage
}
