package events

import "github.com/sirupsen/logrus"

// Events of roll-outs and versions.
var (
	RolloutSeen = register(Event{
		Number: 5001, Name: "rollout_seen", Level: logrus.InfoLevel,
		Message: "a roll-out under way was found in the settings and is carried on",
	})
	RolloutAdvanced = register(Event{
		Number: 5002, Name: "rollout_advanced", Level: logrus.InfoLevel,
		Message: "this entry instance advanced a roll-out to its next stage",
	})
	RolloutCompleted = register(Event{
		Number: 5003, Name: "rollout_completed", Level: logrus.InfoLevel,
		Message: "this entry instance completed a roll-out",
		Action:  "make the new version the team's stable one when convenient",
	})
	RolloutVersionWithdrawn = register(Event{
		Number: 5004, Name: "rollout_version_withdrawn", Level: logrus.WarnLevel,
		Message: "this entry instance withdrew a bad version in the settings",
		Action:  "read the reason; a new roll-out document starts over",
	})
	VersionSuspended = register(Event{
		Number: 5005, Name: "version_suspended", Level: logrus.WarnLevel,
		Message: "a version is suspended for a team until the settings say so",
		Action:  "none; if the store is down the suspension is stored when it is back",
	})
	VersionBadNoAlternative = register(Event{
		Number: 5006, Name: "version_bad_no_alternative", Level: logrus.ErrorLevel,
		Message: "a version is bad and the team may use no other; it stays in use",
		Action:  "allow the team another version, or withdraw this one",
	})
	RolloutChangeConflict = register(Event{
		Number: 5007, Name: "rollout_change_conflict", Level: logrus.InfoLevel,
		Message: "another writer changed the roll-out first; it is looked at anew",
	})
	RolloutChangeDelayed = register(Event{
		Number: 5008, Name: "rollout_change_delayed", Level: logrus.WarnLevel,
		Message: "a change of a roll-out could not be stored, or its outcome is unknown; it is tried again",
		Action:  "look at the table service",
	})
	RolloutStalled = register(Event{
		Number: 5009, Name: "rollout_stalled", Level: logrus.WarnLevel,
		Message: "a roll-out has been in a stage for long without enough rated answers",
		Action:  "look at the rating service and at the stage's percentage and samples",
	})
	SuspensionLifted = register(Event{
		Number: 5010, Name: "suspension_lifted", Level: logrus.InfoLevel,
		Message: "a suspension ended because the settings now rule the version",
	})
)
