package events

import "github.com/sirupsen/logrus"

// Events of rollouts and versions.
var (
	RolloutFound = register(Event{
		Number: 5001, Name: "rollout_seen", Level: logrus.InfoLevel,
		Message: "a running rollout was found in the settings and is continued",
	})
	RolloutAdvanced = register(Event{
		Number: 5002, Name: "rollout_advanced", Level: logrus.InfoLevel,
		Message: "this entry instance advanced a rollout to its next stage",
	})
	RolloutCompleted = register(Event{
		Number: 5003, Name: "rollout_completed", Level: logrus.InfoLevel,
		Message: "this entry instance completed a rollout",
		Action:  "Make the new version the team's stable version when convenient.",
	})
	RolloutVersionWithdrawn = register(Event{
		Number: 5004, Name: "rollout_version_withdrawn", Level: logrus.WarnLevel,
		Message: "this entry instance withdrew a bad version in the settings",
		Action:  "Read the reason; a new rollout document starts over.",
	})
	VersionSuspended = register(Event{
		Number: 5005, Name: "version_suspended", Level: logrus.WarnLevel,
		Message: "a version is suspended for a team until the settings forbid or remove it",
		Action:  "None. If the store is unavailable, the suspension is stored when it is available again.",
	})
	VersionBadNoAlternative = register(Event{
		Number: 5006, Name: "version_bad_no_alternative", Level: logrus.ErrorLevel,
		Message: "a version is judged bad, but the team may use no other; it stays in use",
		Action:  "Allow the team another version, or withdraw this one.",
	})
	RolloutChangeConflict = register(Event{
		Number: 5007, Name: "rollout_change_conflict", Level: logrus.InfoLevel,
		Message: "another writer changed the rollout first; it is evaluated again",
	})
	RolloutChangeDelayed = register(Event{
		Number: 5008, Name: "rollout_change_delayed", Level: logrus.WarnLevel,
		Message: "a change of a rollout could not be stored, or its outcome is unknown; it is retried",
		Action:  "Check the table service.",
	})
	RolloutStalled = register(Event{
		Number: 5009, Name: "rollout_stalled", Level: logrus.WarnLevel,
		Message: "a rollout has stayed in a stage for too long without enough rated answers",
		Action:  "Check the rating service, and the stage's percentage and samples.",
	})
	SuspensionLifted = register(Event{
		Number: 5010, Name: "suspension_lifted", Level: logrus.InfoLevel,
		Message: "a suspension ended because the settings now forbid the version or no longer contain it",
	})
)
