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
		Message: "the entry instance is draining and finishes the requests in flight",
	})
	ProcessStopped = register(Event{
		Number: 7003, Name: "process_stopped", Level: logrus.InfoLevel,
		Message: "the entry instance has stopped",
	})
	ProcessStepRefused = register(Event{
		Number: 7004, Name: "process_step_refused", Level: logrus.ErrorLevel,
		Message: "the entry instance attempted a transition that its state chart does not allow",
		Action:  "This is a bug in the program: report it with the log line.",
	})
	ProcessDrainTimeout = register(Event{
		Number: 7005, Name: "process_drain_timeout", Level: logrus.ErrorLevel,
		Message: "requests were still in flight when the drain timeout expired",
		Action:  "Raise the drain timeout above the duration of the longest stream.",
	})
	CertificateReloaded = register(Event{
		Number: 7006, Name: "certificate_reloaded", Level: logrus.InfoLevel,
		Message: "a renewed certificate was loaded and is in use",
	})
	CertificateNotReloaded = register(Event{
		Number: 7007, Name: "certificate_not_reloaded", Level: logrus.ErrorLevel,
		Message: "a renewed certificate can't be read; the previous one stays in use",
		Action:  "Correct the file named in the error before the certificate in use expires.",
	})
	ProcessStateChanged = register(Event{
		Number: 7008, Name: "process_state_changed", Level: logrus.InfoLevel,
		Message: "the instance changed state; outcome is the new state, reason the event that caused it",
	})
	// Number 7009 is retired.
	SettingsChecked = register(Event{
		Number: 7010, Name: "settings_checked", Level: logrus.InfoLevel,
		Message: "the settings file was signalled or changed and was checked; the settings read at the start stay in use; error lists the file's faults",
		Action:  "Correct the faults, if any; restart the instance to use the new settings.",
	})
)
