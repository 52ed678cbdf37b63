package coordinator

import (
	"testing"
	"time"
)

// Guards against retries that are refused, or go beyond the budget, after the settings have
// changed the window of the budget: the requests and retries of the former one were
// forgotten.
func TestRetryBudgetOutlivesItsWindow(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 4)
	c.Apply(now, LimitsChanged{StallTimeout: defaultStallTimeout, RetryRatio: 0.2, RetryWindow: 10 * time.Second})
	for n := range Ticket(100) {
		c.Apply(now, newArrival(now, n+1))
		c.Apply(now, TicketReleased{Ticket: n + 1})
	}
	retry := func(ticket Ticket) RefusalReason {
		e := newArrival(now, ticket)
		e.IsRetry = true
		_, reason := decisionFor(c.Apply(now, e), ticket)
		c.Apply(now, TicketReleased{Ticket: ticket})
		return reason
	}
	allowed := int(budgetFraction * 0.2 * 100)
	for n := range allowed / 2 {
		retry(Ticket(1000 + n))
	}
	c.Apply(now, LimitsChanged{StallTimeout: defaultStallTimeout, RetryRatio: 0.2, RetryWindow: 8 * time.Second})
	got := 0
	for n := range 100 {
		if retry(Ticket(2000+n)) != NoBudget {
			got++
		}
	}
	if want := allowed - allowed/2; got != want {
		t.Errorf("got %d retries after the change, want %d", got, want)
	}
}

// Guards against retries beyond the budget in an overload: a request that asked for a slot several
// times, since it was refused one or could not be sent, counted as several requests.
func TestRequestIsCountedOnceInRetryBudget(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 4)
	c.Apply(now, LimitsChanged{StallTimeout: defaultStallTimeout, RetryRatio: 0.2, RetryWindow: 10 * time.Second})
	for n := range Ticket(20) {
		for k := range Ticket(5) {
			e := newArrival(now, 10*n+k+1)
			e.HasAskedBefore = k > 0
			c.Apply(now, e)
			c.Apply(now, TicketReleased{Ticket: e.Ticket})
		}
	}
	if got, _ := c.usageInWindow(now, "llm"); got != 20 {
		t.Errorf("got %v requests in the retry budget, want 20", got)
	}
}
