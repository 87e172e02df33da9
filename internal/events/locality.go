package events

import "github.com/sirupsen/logrus"

// Events of requests that leave their failure domain.
var (
	DomainOverflows = register(Event{
		Number: 6141, Name: "domain_overflows", Level: logrus.InfoLevel,
		Message: "a failure domain has more requests to a service than its servers take in time; load is the utilization of its slots by all requests of its instances, and those that may be late run in other failure domains that have room",
		Action:  "Add backend servers there if it lasts; bytes between failure domains cost money.",
	})
	DomainOverflowEnded = register(Event{
		Number: 6142, Name: "domain_overflow_ended", Level: logrus.InfoLevel,
		Message: "a failure domain keeps its requests to a service again",
	})
)
