package events

import "github.com/sirupsen/logrus"

// Events of services that are short of capacity.
var (
	ServiceShort = register(Event{
		Number: 6131, Name: "service_short", Level: logrus.WarnLevel,
		Message: "a service is short of capacity: its requests take most of their target latency until their answer or first event, and load is their number in relation to the slots; rate is what is admitted from now on, in tokens or plain calls a second for the instances of this failure domain",
		Action:  "Requests beyond it are refused at once, the least urgent and those of the accounts that demand most first; add backend servers if it lasts.",
	})
	ServiceNotShort = register(Event{
		Number: 6132, Name: "service_not_short", Level: logrus.InfoLevel,
		Message: "a service is no longer short of capacity; all its requests are admitted",
	})
)
