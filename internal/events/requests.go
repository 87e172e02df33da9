package events

import "github.com/sirupsen/logrus"

// Events of callers' requests.
var (
	RequestAnswered = register(Event{
		Number: 2001, Name: "request_answered", Level: logrus.DebugLevel,
		Message: "a request was answered",
	})
	RequestRefused = register(Event{
		Number: 2002, Name: "request_refused", Level: logrus.InfoLevel,
		Message: "a request was refused and did not run",
		Action:  "The reason is the refusal's code in docs/API.md; 'basilrailctl explain' shows the request's timeline.",
	})
	RequestFailed = register(Event{
		Number: 2003, Name: "request_failed", Level: logrus.WarnLevel,
		Message: "a request failed and may have run",
		Action:  "Run 'basilrailctl explain' with the request id, then check the backend servers that it names.",
	})
	RequestStepRefused = register(Event{
		Number: 2004, Name: "request_step_refused", Level: logrus.ErrorLevel,
		Message: "a request attempted a transition that its state chart does not allow",
		Action:  "This is a bug in the program: report it with the log line.",
	})
	RequestBillDelayed = register(Event{
		Number: 2005, Name: "request_bill_delayed", Level: logrus.WarnLevel,
		Message: "a bill was not durable when its answer was sent",
		Action:  "Check the table service and the peers; the bill is kept in memory and written later.",
	})
	RequestTokenFailed = register(Event{
		Number: 2006, Name: "request_token_failed", Level: logrus.ErrorLevel,
		Message: "a session token could not be issued",
		Action:  "Check that /fleet lists at least one token key.",
	})
	RequestClaimNotReleased = register(Event{
		Number: 2007, Name: "request_claim_kept", Level: logrus.WarnLevel,
		Message: "the claim of a request that did not run could not be released immediately",
		Action:  "The claim is released later; until then the same key is answered with may_have_run.",
	})
	RequestOutcomeDelayed = register(Event{
		Number: 2008, Name: "request_outcome_delayed", Level: logrus.WarnLevel,
		Message: "the outcome of a non-idempotent request is not yet recorded",
		Action:  "Check the table service; until it is recorded the same key is answered with may_have_run.",
	})
	RatingUnavailable = register(Event{
		Number: 2009, Name: "rating_unavailable", Level: logrus.InfoLevel,
		Message: "an answer could not be rated",
		Action:  "Check the rating service and its rate; meanwhile more expensive versions answer where the quality is unknown.",
	})
)
