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
	// loanMargin covers the difference between the clocks of two VMs over one loan, and a request on its way.
	loanMargin = 300 * time.Millisecond
	// loadReportDelay is how long a sent request may take to show in the endpoint's load.
	loadReportDelay = 250 * time.Millisecond
	// incarnationSeparator separates VM and incarnation in the name under which a VM calls endpoints.
	incarnationSeparator = "/"
)

// Allowance returns vm's part of total at an endpoint: an equal part for each of vms, and one more for the first ones
// by rendezvous hashing while there is a remainder. The parts of all vms add up to total.
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

// loan is a number of slots that another VM may use, or that this VM may use, until a time.
type loan struct {
	vm    string
	slots int
	until time.Time
}

// slots is the account of one endpoint's slots at this VM. Its owner guards it with a lock.
type slots struct {
	allowance int
	inFlight  int
	// lingering are calls whose outcome is unknown here: the endpoint may still run them.
	lingering int
	// lastLingering is when the newest of them was given up; an older load may not contain it yet.
	lastLingering time.Time
	// previousInFlight is what previousInFlight incarnations of this VM have in flight; known is false before the first load answer.
	previousInFlight int
	loadKnown        bool
	lent             []loan
	// borrowed loans end loanMargin early, because the lender counts from the arrival of the question.
	borrowed []loan
}

// newSlots returns the account of a VM that has just started at now. Its former incarnation may have lent slots that
// this one does not know of, so they count as lent until the longest loan is over.
func newSlots(allowance int, now time.Time) slots {
	s := slots{allowance: allowance}
	if n := s.maxLent(); n > 0 {
		s.lent = []loan{{slots: n, until: now.Add(maxLoan + loanMargin)}}
	}
	return s
}

// maxLent keeps half of the allowance at home, so that a restarted VM can work while former loans run out.
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

// lend gives vm up to wanted unused slots and returns how many it gave.
func (s *slots) lend(vm string, wanted int, duration time.Duration, now time.Time) int {
	s.totalBorrowed(now)
	if len(s.borrowed) > 0 {
		// Slots of another VM are not passed on: their loan ends without this VM's knowledge of the use.
		return 0
	}
	given := min(wanted, s.maxLent()-s.totalLent(), s.free(now))
	if given <= 0 {
		return 0
	}
	s.lent = append(s.lent, loan{vm: vm, slots: given, until: now.Add(duration + loanMargin)})
	return given
}

// mayBorrow is false while slots are lent out: the lender takes its slots back once it sees the borrower within its
// static allowance, and a borrower that has lent slots itself may be too high there already.
func (s *slots) mayBorrow() bool { return s.loadKnown && len(s.lent) == 0 }

// borrow adds slots that another VM lent for duration in answer to a question sent at asked.
func (s *slots) borrow(vm string, n int, duration time.Duration, sentAt time.Time) {
	if n > 0 && s.mayBorrow() {
		s.borrowed = append(s.borrowed, loan{vm: vm, slots: n, until: sentAt.Add(duration - loanMargin)})
	}
}

// observation is one load answer with the times around it.
type observation struct {
	load   infra.EndpointLoad
	sentAt time.Time
	// reportedCalls is the number of own calls that began settleTime before the question and were not over at the answer:
	// the load certainly contains them.
	reportedCalls int
	vm            string
	from          string
	// allowances holds the static allowance of each configured entry VM of the zone.
	allowances map[string]int
}

// observe corrects the account by what the endpoint says.
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

// reclaim takes back lent slots whose loan is over, once the borrower is seen within its own allowance. After the end
// of the loan it starts nothing beyond that.
func (s *slots) reclaim(o observation, usage map[string]int) {
	kept := s.lent[:0]
	for _, l := range s.lent {
		if o.sentAt.Before(l.until) || !withinAllowance(l.vm, usage, o) {
			kept = append(kept, l)
		}
	}
	s.lent = kept
}

// withinAllowance checks one borrower, or every other VM if the borrower is not known.
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
