package events

import "github.com/sirupsen/logrus"

// Events of claims and bills.
var (
	ClaimOutcomeDelayed = register(Event{
		Number: 3001, Name: "claim_outcome_delayed", Level: logrus.WarnLevel,
		Message: "the outcome of a claimed request could not be recorded yet; the write is retried",
		Action:  "Check the table service. Until it is recorded, a repeated key is answered with may_have_run.",
	})
	ClaimOutcomeLost = register(Event{
		Number: 3002, Name: "claim_outcome_lost", Level: logrus.ErrorLevel,
		Message: "the outcome of a claimed request could not be recorded",
		Action:  "The request ran once; a repeated key continues to be answered with may_have_run. Inform the client account's team.",
	})
	BillsNotDurable = register(Event{
		Number: 3101, Name: "bills_not_durable", Level: logrus.WarnLevel,
		Message: "bill records are waiting to be stored by a peer or the table service; new work is refused",
		Action:  "Check the peer connections and the table service.",
	})
	BillsRestored = register(Event{
		Number: 3102, Name: "bills_restored", Level: logrus.InfoLevel,
		Message: "bill records are durable again; new work is admitted",
	})
	BillsFull = register(Event{
		Number: 3103, Name: "bills_full", Level: logrus.ErrorLevel,
		Message: "the buffer for bill records that are not yet in the table service is full; new work is refused",
		Action:  "Restore the table service. The buffered records are kept and written when it is available again.",
	})
	BillsFlushedForPeer = register(Event{
		Number: 3104, Name: "bills_flushed_for_peer", Level: logrus.InfoLevel,
		Message: "bill records that their owning instance had not stored were written to the table service on its behalf",
	})
	BillsLost = register(Event{
		Number: 3105, Name: "bills_lost", Level: logrus.ErrorLevel,
		Message: "the instance stopped with bill records that neither the table service nor a peer had accepted",
		Action:  "The records counted in count are lost unless another instance holds them; run basilrailctl bills reconcile.",
	})
)
