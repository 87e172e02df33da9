package statechart

// States of the request chart.
const (
	RequestReceived   State = "received"
	RequestIdentified State = "identified"
	RequestClassified State = "classified"
	RequestAdmitted   State = "admitted"
	RequestPlanned    State = "planned"
	RequestClaimed    State = "claimed"
	RequestAttempting State = "attempting"
	RequestJudging    State = "judging"
	RequestEscalating State = "escalating"
	RequestBilling    State = "billing"
	RequestAnswered   State = "answered"
	RequestRefused    State = "refused"
	RequestFailed     State = "failed"
)

// Events of the request chart; the chart file describes each.
const (
	RequestIdentify Event = "identify"
	RequestClassify Event = "classify"
	RequestAdmit    Event = "admit"
	RequestPlan     Event = "plan"
	RequestClaim    Event = "claim"
	RequestReplay   Event = "replay"
	RequestSend     Event = "send"
	RequestRetry    Event = "retry"
	RequestAnswer   Event = "answer"
	RequestAccept   Event = "accept"
	RequestEscalate Event = "escalate"
	RequestBill     Event = "bill"
	RequestRefuse   Event = "refuse"
	RequestFail     Event = "fail"
)

// States of the rollout chart are the values of settings.RolloutStatus.

// Events of the rollout chart.
const (
	RolloutOperatorPause    Event = "operator_pause"
	RolloutOperatorResume   Event = "operator_resume"
	RolloutOperatorWithdraw Event = "operator_withdraw"
	RolloutStagePassed      Event = "stage_passed"
	RolloutLastStagePassed  Event = "last_stage_passed"
	RolloutVersionBad       Event = "version_bad"
)

// States of the entry chart.
const (
	EntryStarting    State = "starting"
	EntryReady       State = "ready"
	EntryUnconfirmed State = "not_vouching"
	EntryDraining    State = "draining"
	EntryStopped     State = "stopped"
)

// Events of the entry chart.
const (
	EntrySettingsCurrent Event = "settings_current"
	EntrySettingsStale   Event = "settings_stale"
	EntryShutdown        Event = "shutdown"
	EntryDrained         Event = "drained"
)

// States of the server chart.
const (
	ServerUnknown  State = "unknown"
	ServerUp       State = "up"
	ServerSuspect  State = "suspect"
	ServerDown     State = "down"
	ServerDraining State = "leaving"
	ServerRemoved  State = "removed"
)

// Events of the server chart.
const (
	ServerReportOK          Event = "report_ok"
	ServerReportDraining    Event = "report_leaving"
	ServerProbeFailed       Event = "probe_failed"
	ServerConnectionRefused Event = "connection_refused"
	ServerCrashed           Event = "crashed"
	ServerRemove            Event = "removed"
)

// States of the upgrade chart.
const (
	UpgradeObserving State = "observing"
	UpgradeMoving    State = "moving"
	UpgradeCompleted State = "completed"
	UpgradeReverted  State = "reverted"
)

// Events of the upgrade chart.
const (
	UpgradeHalfPassed Event = "half_passed"
	UpgradeReleaseBad Event = "release_bad"
	UpgradeMoved      Event = "moved"
)

// States of the serverpath chart.
const (
	PathDirect  State = "direct"
	PathCutOff  State = "cut_off"
	PathRelayed State = "relayed"
	PathStopped State = "stopped"
)

// Events of the serverpath chart.
const (
	PathServersReached Event = "servers_reached"
	PathServersLost    Event = "servers_lost"
	PathRelayFound     Event = "relay_found"
	PathRelayLost      Event = "relay_lost"
	PathStop           Event = "stop"
)
