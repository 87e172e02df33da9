package events

import "github.com/sirupsen/logrus"

// Events of upgrades of services to other releases.
var (
	UpgradeRequested = register(Event{
		Number: 5101, Name: "upgrade_ordered", Level: logrus.InfoLevel,
		Message: "the operator requested the upgrade of a service to a release",
	})
	UpgradeStateChanged = register(Event{
		Number: 5102, Name: "upgrade_state_changed", Level: logrus.InfoLevel,
		Message: "the upgrade of a service to a release changed state",
	})
	UpgradeReleaseBad = register(Event{
		Number: 5103, Name: "upgrade_release_bad", Level: logrus.WarnLevel,
		Message: "a release is judged bad and gets no more requests; reason names where it answers badly, or that a peer judged it bad; count is the number of its answers, bad that of the bad ones",
		Action:  "Check the failed attempts of the release in the log.",
	})
	UpgradeRecordFailed = register(Event{
		Number: 5104, Name: "upgrade_record_failed", Level: logrus.WarnLevel,
		Message: "the record of an upgrade could not be read or written; it is retried",
		Action:  "Check the platform's store.",
	})
	UpgradeShareChanged = register(Event{
		Number: 5105, Name: "upgrade_share_changed", Level: logrus.InfoLevel,
		Message: "the share of the requests that may run on an upgrade's new release changed at this instance; count and bad are the fleet's answers of the release so far and the bad ones among them, reason the bad answers by criterion, those of the old release in parentheses",
	})
)
