package events

import "github.com/sirupsen/logrus"

// Events of the evacuation of failure domains.
var (
	EvacuationBegan = register(Event{
		Number: 6101, Name: "evacuation_began", Level: logrus.WarnLevel,
		Message: "operators evacuate a failure domain; its backend servers get no request until the evacuation ends",
		Action:  "Check evacuated_requests before work on the failure domain begins: answers in progress there are completed.",
	})
	EvacuationEnded = register(Event{
		Number: 6102, Name: "evacuation_ended", Level: logrus.WarnLevel,
		Message: "the evacuation of a failure domain ended after age_ms; its backend servers get requests again, at first as many as cold ones",
	})
	EvacuationUncertain = register(Event{
		Number: 6103, Name: "evacuation_uncertain", Level: logrus.WarnLevel,
		Message: "the store was restored or unavailable and lacks the row of an evacuation; the evacuation goes on for retry_after_ms unless the row returns",
		Action:  "Write the row again if the failure domain is still to be evacuated.",
	})
	EvacuationIgnored = register(Event{
		Number: 6104, Name: "evacuation_ignored", Level: logrus.ErrorLevel,
		Message: "an evacuation is ignored",
		Action:  "Correct or delete the row of the failure domain.",
	})
)
