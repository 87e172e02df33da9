package events

import "github.com/sirupsen/logrus"

// Events of the settings.
var (
	SettingsInEffect = register(Event{
		Number: 1001, Name: "settings_in_force", Level: logrus.InfoLevel,
		Message: "a settings revision is in force on this instance",
	})
	SettingsStoreUnreachable = register(Event{
		Number: 1002, Name: "settings_store_unreachable", Level: logrus.WarnLevel,
		Message: "the settings can't be read from the table service",
		Action:  "Check the platform's table service; meanwhile instances confirm to each other that their settings are current.",
	})
	SettingsStoreReached = register(Event{
		Number: 1003, Name: "settings_store_reached", Level: logrus.InfoLevel,
		Message: "the settings can be read from the table service again",
	})
	SettingsUnconfirmed = register(Event{
		Number: 1004, Name: "settings_not_vouched", Level: logrus.WarnLevel,
		Message: "this instance can't confirm that its settings are current and refuses new work",
		Action:  "Check the instance's network connection to the table service and to its peers.",
	})
	SettingsConfirmed = register(Event{
		Number: 1005, Name: "settings_vouched", Level: logrus.InfoLevel,
		Message: "this instance's settings are confirmed to be current again",
	})
	SettingsUnreadable = register(Event{
		Number: 1006, Name: "settings_unreadable", Level: logrus.ErrorLevel,
		Message: "a committed settings revision can't be read by this program version",
		Action:  "Replace the instance with one that runs the program version that committed the revision.",
	})
	SettingsCommitted = register(Event{
		Number: 1007, Name: "settings_committed", Level: logrus.InfoLevel,
		Message: "a settings change was committed through this instance",
	})
	SettingsConflict = register(Event{
		Number: 1008, Name: "settings_conflict", Level: logrus.InfoLevel,
		Message: "a settings change conflicted with another one and was not applied",
		Action:  "The operator should review the difference and apply the change again.",
	})
	SettingsOutcomeUnknown = register(Event{
		Number: 1009, Name: "settings_outcome_unknown", Level: logrus.WarnLevel,
		Message: "the outcome of a settings change is unknown",
		Action:  "Send the same change id again through any instance.",
	})
	SettingsFromPeers = register(Event{
		Number: 1010, Name: "settings_from_peers", Level: logrus.InfoLevel,
		Message: "a complete copy of the settings was received from a peer",
	})
	OperatorRefused = register(Event{
		Number: 1011, Name: "operator_refused", Level: logrus.WarnLevel,
		Message: "an operator's request was refused",
		Action:  "Check the operator's key, role and subtree in /fleet.",
	})
)
