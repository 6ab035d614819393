package router

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/infra"
	_ "siskinstack.example/siskinstack/testseed"
)

// TestAllowancesAddUp guards against a split into allowances that exceeds or falls short of the endpoint's slots.
func TestAllowancesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "vms")
		total := rapid.SampledFrom([]int{8, 60}).Draw(t, "total")
		name := rapid.String().Draw(t, "endpoint")
		var vms []string
		for i := range n {
			vms = append(vms, "entry-"+strconv.Itoa(i))
		}
		sum := 0
		for _, vm := range vms {
			part := Allowance(total, name, vms, vm)
			assert.Assert(t, part == total/n || part == total/n+1)
			sum += part
		}
		assert.Equal(t, sum, total)
	})
}

// slotModel is one endpoint that accepts every call, and the slot accounts of the VMs that call it.
type slotModel struct {
	now          time.Time
	vms          []string
	accounts     map[string]*endpoint
	incarnations map[string]int
	open         map[string][]uint64
	// running counts the calls that the endpoint actually runs, by VM and incarnation of the caller.
	running map[string]int
}

const modelSlots = 8

func newSlotModel(n int) *slotModel {
	m := &slotModel{
		now: time.Unix(1000, 0), accounts: map[string]*endpoint{}, incarnations: map[string]int{},
		open: map[string][]uint64{}, running: map[string]int{},
	}
	for i := range n {
		m.vms = append(m.vms, fmt.Sprintf("entry-%d", i))
	}
	for _, vm := range m.vms {
		m.restart(vm)
	}
	return m
}

func (m *slotModel) from(vm string) string {
	return vm + incarnationSeparator + strconv.Itoa(m.incarnations[vm])
}

func (m *slotModel) restart(vm string) {
	m.incarnations[vm]++
	m.open[vm] = nil
	m.accounts[vm] = &endpoint{
		name: "e", connections: 60, calls: map[uint64]time.Time{},
		slots: newSlots(Allowance(modelSlots, "e", m.vms, vm), m.now),
	}
}

func (m *slotModel) start(vm string) {
	a := m.accounts[vm]
	if a.slots.free(m.now) <= 0 {
		return
	}
	m.open[vm] = append(m.open[vm], a.beginCall(m.now))
	m.running[m.from(vm)]++
}

// end ends the oldest call of vm; with an unknown outcome the endpoint keeps running it.
func (m *slotModel) end(vm string, result outcome) {
	if len(m.open[vm]) == 0 {
		return
	}
	m.accounts[vm].endCall(m.open[vm][0], result, m.now)
	m.open[vm] = m.open[vm][1:]
	if !result.mayHaveRun() {
		m.running[m.from(vm)]--
	}
}

// finishAbandoned ends one call at the endpoint that its VM no longer waits for.
func (m *slotModel) finishAbandoned() {
	for from, n := range m.running {
		openCalls := 0
		for _, vm := range m.vms {
			if m.from(vm) == from {
				openCalls = len(m.open[vm])
			}
		}
		if n > openCalls {
			m.running[from]--
			return
		}
	}
}

func (m *slotModel) observe(vm string) {
	load := infra.EndpointLoad{InFlight: map[string]int{}}
	for from, n := range m.running {
		load.InFlight[from] = n
	}
	allowances := map[string]int{}
	for _, name := range m.vms {
		allowances[name] = Allowance(modelSlots, "e", m.vms, name)
	}
	m.accounts[vm].observe(observation{load: load, sentAt: m.now, vm: vm, from: m.from(vm), allowances: allowances})
}

// lend sends a loan request and its answer, each with a delay. If the answer is lost, only the lender knows of the loan.
func (m *slotModel) lend(from, to string, delay time.Duration, lost bool) {
	if from == to {
		return
	}
	sentAt := m.now
	m.now = m.now.Add(delay)
	n := m.accounts[from].slots.lend(to, modelSlots, maxLoan, m.now)
	m.now = m.now.Add(delay)
	if !lost {
		m.accounts[to].slots.borrow(from, n, maxLoan, sentAt)
	}
}

func (m *slotModel) totalRunning() int {
	sum := 0
	for _, n := range m.running {
		sum += n
	}
	return sum
}

func (m *slotModel) fill(vm string) {
	for range modelSlots {
		m.start(vm)
	}
}

func (m *slotModel) step(t *rapid.T) {
	vm := rapid.SampledFrom(m.vms).Draw(t, "vm")
	switch rapid.SampledFrom([]string{"start", "fill", "answer", "abandon", "finish", "observe", "lend", "lend", "wait", "restart"}).Draw(t, "action") {
	case "start":
		m.start(vm)
	case "fill":
		m.fill(vm)
	case "answer":
		m.end(vm, outcomeAnswered)
	case "abandon":
		m.end(vm, outcomeUnknown)
	case "finish":
		m.finishAbandoned()
	case "observe":
		m.observe(vm)
	case "lend":
		delay := time.Duration(rapid.SampledFrom([]int{0, 100, 400}).Draw(t, "delay")) * time.Millisecond
		m.lend(vm, rapid.SampledFrom(m.vms).Draw(t, "to"), delay, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{100, 500, 1800, 2300}).Draw(t, "ms")) * time.Millisecond)
	case "restart":
		m.restart(vm)
	}
}

// TestSlotsNeverExceedEndpoint guards against VMs that together give an endpoint more calls than it has slots, under
// lending with delays and lost answers, abandoned calls, restarts, and VMs that take no action for a while.
func TestSlotsNeverExceedEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSlotModel(rapid.IntRange(1, 4).Draw(t, "vms"))
		m.now = m.now.Add(maxLoan + loanMargin)
		for _, vm := range m.vms {
			m.observe(vm)
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.step(t)
			assert.Assert(t, m.totalRunning() <= modelSlots, "%d calls at once", m.totalRunning())
		}
	})
}

// TestModelDetectsLostLoan checks that the property above fails for a VM that restarts without counting what it lent.
func TestModelDetectsLostLoan(t *testing.T) {
	m := newSlotModel(2)
	m.now = m.now.Add(maxLoan + loanMargin)
	a, b := m.vms[0], m.vms[1]
	m.observe(a)
	m.observe(b)
	m.lend(a, b, 0, false)
	m.restart(a)
	m.accounts[a].slots.lent = nil
	m.observe(a)
	for range modelSlots {
		m.start(a)
		m.start(b)
	}
	assert.Assert(t, m.totalRunning() > modelSlots)
}

// TestRestartedVMKeepsHalf guards against a restarted VM that can start no calls until earlier loans have expired.
func TestRestartedVMKeepsHalf(t *testing.T) {
	m := newSlotModel(2)
	m.observe("entry-0")
	assert.Equal(t, m.accounts["entry-0"].slots.free(m.now), 2)
	m.now = m.now.Add(maxLoan + loanMargin)
	m.observe("entry-0")
	assert.Equal(t, m.accounts["entry-0"].slots.free(m.now), 4)
}

// newTwoVMModel returns two VMs with four slots each that have read the load after the loans assumed by newSlots ended.
func newTwoVMModel() (m *slotModel, a, b string) {
	m = newSlotModel(2)
	m.now = m.now.Add(maxLoan + loanMargin)
	a, b = m.vms[0], m.vms[1]
	m.observe(a)
	m.observe(b)
	return m, a, b
}

func (m *slotModel) fillAllAndCheck(t *testing.T) {
	t.Helper()
	for _, vm := range m.vms {
		m.fill(vm)
	}
	assert.Assert(t, m.totalRunning() <= modelSlots, "%d calls at once", m.totalRunning())
}

// TestLoanEndsAtBorrowerFirst guards against a borrower that still uses a loan when the lender reclaims the slots.
func TestLoanEndsAtBorrowerFirst(t *testing.T) {
	m, a, b := newTwoVMModel()
	m.lend(a, b, 0, false)
	m.now = m.now.Add(maxLoan + loanMargin)
	m.observe(a)
	m.fill(a)
	m.fillAllAndCheck(t)
}

// TestLoanIsHeldWhileUsed guards against a lender that reclaims slots while the borrower's calls still run.
func TestLoanIsHeldWhileUsed(t *testing.T) {
	m, a, b := newTwoVMModel()
	m.lend(a, b, 0, false)
	m.fill(b)
	m.now = m.now.Add(maxLoan + loanMargin)
	m.observe(a)
	m.fillAllAndCheck(t)
}

// newThreeVMModel returns three VMs, two with three slots and one with two, that have read the load after the loans
// assumed by newSlots ended.
func newThreeVMModel() (m *slotModel, a, b, c string) {
	m = newSlotModel(3)
	m.now = m.now.Add(maxLoan + loanMargin)
	var threes []string
	for _, vm := range m.vms {
		m.observe(vm)
		if m.accounts[vm].slots.allowance == 3 {
			threes = append(threes, vm)
		} else {
			c = vm
		}
	}
	return m, threes[0], threes[1], c
}

// TestBorrowedSlotsAreNotPassedOn guards against a borrower that lends on: the first lender sees it within its allowance
// and reclaims slots that a third VM still uses.
func TestBorrowedSlotsAreNotPassedOn(t *testing.T) {
	m, a, b, c := newThreeVMModel()
	m.lend(a, b, 0, false)
	m.now = m.now.Add(time.Second)
	m.lend(b, c, 0, false)
	m.fill(b)
	m.now = m.now.Add(maxLoan + loanMargin - time.Second)
	m.observe(a)
	m.fillAllAndCheck(t)
}

// TestLenderDoesNotBorrow guards against the same fault if the VM first lends and then borrows.
func TestLenderDoesNotBorrow(t *testing.T) {
	m, a, b, c := newThreeVMModel()
	m.lend(b, c, 0, false)
	m.fill(c)
	m.lend(a, b, 0, false)
	m.fill(b)
	m.now = m.now.Add(maxLoan + loanMargin)
	m.observe(a)
	m.fillAllAndCheck(t)
}
