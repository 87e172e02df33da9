package dispatch

import (
	"github.com/basilrail/basilrail/internal/admission"
	"github.com/basilrail/basilrail/internal/settings"
)

// admit refuses the request if its service is short of capacity and its share is used up. It is decided at once, before the
// first attempt.
func (x *exchange) admit() *Refusal {
	if x.d.Admission == nil {
		return nil
	}
	r := admission.Request{Service: x.service, Class: admission.Class{Priority: x.priority()}, Cost: plainTokens, Target: x.route.TargetLatency}
	if x.account != nil {
		r.Class.Account = settings.AccountID(x.account.Name)
	}
	if x.route.CarriesPrompt {
		r.Cost = float64(max(plainTokens, x.req.Prompt.Tokens()))
	}
	retryAfter, ok := x.d.Admission.Admit(r)
	if !ok {
		return x.spread(&Refusal{Reason: OverShare, Execution: x.execution, RetryAfter: retryAfter}, 0)
	}
	x.admitted = &r
	return nil
}

// observeAdmission records that the answer, or its first event, has come.
func (x *exchange) observeAdmission() {
	if x.admitted != nil {
		x.d.Admission.Started(*x.admitted)
		x.admitted = nil
	}
}

// endAdmission records that the request ended, if it got neither an answer nor an event.
func (x *exchange) endAdmission() {
	if x.admitted != nil {
		x.d.Admission.Abandoned(*x.admitted)
		x.admitted = nil
	}
}
