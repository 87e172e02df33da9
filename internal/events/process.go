package events

import "github.com/sirupsen/logrus"

// Events of the process itself.
var (
	ProcessStarted = register(Event{
		Number: 7001, Name: "process_started", Level: logrus.InfoLevel,
		Message: "the entry instance is serving",
	})
	ProcessDraining = register(Event{
		Number: 7002, Name: "process_draining", Level: logrus.InfoLevel,
		Message: "the entry instance is leaving and finishes its requests",
	})
	ProcessStopped = register(Event{
		Number: 7003, Name: "process_stopped", Level: logrus.InfoLevel,
		Message: "the entry instance has stopped",
	})
)
