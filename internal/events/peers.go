package events

import "github.com/sirupsen/logrus"

// Events of the peers and the membership list.
var (
	MembershipUnavailable = register(Event{
		Number: 4001, Name: "membership_unavailable", Level: logrus.WarnLevel,
		Message: "the membership list can't be read; the last view stays in use",
		Action:  "Check the platform's membership service. Requests go on.",
	})
	MembershipRestored = register(Event{
		Number: 4002, Name: "membership_restored", Level: logrus.InfoLevel,
		Message: "the membership list can be read again",
	})
)
