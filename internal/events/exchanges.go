package events

import "github.com/sirupsen/logrus"

// Events of requests that are routed to registered backend servers.
var (
	ExchangeAttempt = register(Event{
		Number: 2101, Name: "exchange_attempt", Level: logrus.InfoLevel,
		Message: "an attempt at a backend server ended",
		Action:  "Reason and load show why the server was selected, outcome how the attempt ended, prompt_parts the parts of the prompt if the connection was lost: a part that all such attempts share may crash servers.",
	})
	ExchangeEscalated = register(Event{
		Number: 2102, Name: "exchange_escalated", Level: logrus.InfoLevel,
		Message: "a model's answer was discarded for low confidence; the request is escalated to the model in reason",
	})
	ExchangeAnswered = register(Event{
		Number: 2103, Name: "exchange_answered", Level: logrus.InfoLevel,
		Message: "a request was answered",
	})
	ExchangeRefused = register(Event{
		Number: 2104, Name: "exchange_refused", Level: logrus.WarnLevel,
		Message: "a request was refused; outcome shows whether it ran",
		Action:  "The attempts with the same request id show which servers were tried; age_ms and revision identify the configuration used.",
	})
	ExchangeAborted = register(Event{
		Number: 2105, Name: "exchange_broken", Level: logrus.WarnLevel,
		Message: "a stream was aborted after part of it had been sent to the caller",
		Action:  "The attempts with the same request id show which servers disconnected mid-response.",
	})
	ExchangeReleaseMissing = register(Event{
		Number: 2106, Name: "exchange_release_missing", Level: logrus.WarnLevel,
		Message: "no server of the release selected for a request is known; version is that release",
		Action:  "Check whether the servers of the release deregistered.",
	})
	AnswerEvicted = register(Event{
		Number: 2108, Name: "answer_evicted", Level: logrus.WarnLevel,
		Message: "an answer was given up because the answers in progress use up the memory; backend_server has the most of these bytes, count are those of the answer",
		Action:  "Check what the server sends; if it is sound, the instance needs more memory.",
	})
	BodyRefused = register(Event{
		Number: 2109, Name: "body_refused", Level: logrus.WarnLevel,
		Message: "a request was refused before its body was read, because the bodies of requests in progress use up the memory; count are the bytes that had arrived",
		Action:  "Check which client account sends many large bodies; if all are sound, add instances.",
	})
	ExchangeServerSilent = register(Event{
		Number: 2107, Name: "exchange_server_silent", Level: logrus.WarnLevel,
		Message: "a backend server sent nothing for longer than an attempt waits; outcome shows what followed",
		Action:  "If many servers are silent at once, check the processor time of this instance and of the servers.",
	})
)
