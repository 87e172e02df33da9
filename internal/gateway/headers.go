package gateway

// Headers that callers send.
const (
	// HeaderIdempotencyKey identifies a request; a resend carries the same key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSessionToken carries the token from the session's previous answer.
	HeaderSessionToken = "X-Session-Token"
	// HeaderDeadline is the request's time budget in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderTask is the kind of task, such as "summarise"; it selects the cascade.
	HeaderTask = "X-Task"
)

// Headers of the answers to callers.
const (
	// HeaderRequestID is the request's id, for "basilrailctl explain".
	HeaderRequestID = "X-Request-Id"
	// HeaderVersion is the "model@version" that produced the answer.
	HeaderVersion = "X-Model-Version"
	// HeaderCost is the bill's total in micro-units.
	HeaderCost = "X-Cost-Micro-Units"
	// HeaderReplayed is "true" on the recorded outcome of an earlier request.
	HeaderReplayed = "X-Replayed"
)
