package events

import "github.com/sirupsen/logrus"

// Events of backend servers and of the content they run.
var (
	ServerStateChanged = register(Event{
		Number: 6001, Name: "server_state_changed", Level: logrus.InfoLevel,
		Message: "a backend server's state changed as seen by this instance",
		Action:  "None for leaving; for down, check the backend server if it does not recover.",
	})
	ServerCrashed = register(Event{
		Number: 6002, Name: "server_crashed", Level: logrus.WarnLevel,
		Message: "a backend server's process exited while requests were in flight",
		Action:  "Check the backend server's own logs; the affected requests are retried separately from each other.",
	})
	ContentQuarantined = register(Event{
		Number: 6003, Name: "content_quarantined", Level: logrus.ErrorLevel,
		Message: "a request's content was in flight in two crashes and is refused from now on",
		Action:  "Find the caller by the fingerprint in basilrailctl quarantine and report the engine bug.",
	})
	CommandRefused = register(Event{
		Number: 6004, Name: "order_refused", Level: logrus.WarnLevel,
		Message: "a backend server refused a command because of its fencing number",
		Action:  "None; another entry instance now issues the commands.",
	})
	CommandRepeated = register(Event{
		Number: 6005, Name: "order_corrected", Level: logrus.InfoLevel,
		Message: "a backend server has not reported the commanded load or unload of a version; the command is repeated",
		Action:  "If it repeats, check the backend server's memory and the weight store.",
	})
	CommandLeaseAcquired = register(Event{
		Number: 6006, Name: "order_lease_taken", Level: logrus.InfoLevel,
		Message: "this entry instance acquired the command lease and issues the commands to backend servers",
	})
	CommandLeaseLost = register(Event{
		Number: 6007, Name: "order_lease_lost", Level: logrus.InfoLevel,
		Message: "this entry instance lost the command lease and no longer issues commands to backend servers",
	})
	ServerRegistered = register(Event{
		Number: 6008, Name: "server_registered", Level: logrus.InfoLevel,
		Message: "a backend server registered itself",
	})
	ServerDraining = register(Event{
		Number: 6009, Name: "server_draining", Level: logrus.InfoLevel,
		Message: "a backend server announced that it is draining and gets no new work",
	})
	ServerRestarted = register(Event{
		Number: 6010, Name: "server_restarted", Level: logrus.InfoLevel,
		Message: "a backend server restarted under the same id; its counts and its history are reset",
	})
	ServerDeregistered = register(Event{
		Number: 6011, Name: "server_gone", Level: logrus.InfoLevel,
		Message: "a backend server is no longer registered and gets no new work",
	})
	ServerEjected = register(Event{
		Number: 6012, Name: "server_ejected", Level: logrus.WarnLevel,
		Message: "a backend server is ejected temporarily: several attempts in a row failed, it did not respond, or a peer found it unresponsive",
		Action:  "If it repeats, check the backend server's own logs.",
	})
	RegistrationInvalid = register(Event{
		Number: 6013, Name: "registration_invalid", Level: logrus.WarnLevel,
		Message: "an entry in the list of backend servers is invalid; the other entries stay in use",
		Action:  "Find the writer of the entry; the error states what is invalid.",
	})
	ServerHeld = register(Event{
		Number: 6015, Name: "server_held", Level: logrus.InfoLevel,
		Message: "a restored store lists a backend server that had left; it gets work only if its registration stays",
	})
	ServerLeaving = register(Event{
		Number: 6016, Name: "server_leaving", Level: logrus.InfoLevel,
		Message: "a backend server announced in an answer that it is leaving, here or to the instance in peer; it gets no new work",
	})
	ServerPaused = register(Event{
		Number: 6017, Name: "server_paused", Level: logrus.InfoLevel,
		Message: "a backend server refused a request and asked this instance to send nothing for the time in retry_after_ms",
		Action:  "If it repeats for many servers, the service lacks capacity.",
	})
	ServerLimited = register(Event{
		Number: 6018, Name: "server_limited", Level: logrus.WarnLevel,
		Message: "a backend server named in an answer, here or to the instance in peer, how many requests it takes from all instances together; rate is in requests per second",
		Action:  "The server is in need: check its own logs, and whether the service lacks capacity.",
	})
	ServerLimitEnded = register(Event{
		Number: 6019, Name: "server_limit_ended", Level: logrus.InfoLevel,
		Message: "a backend server names no limit of requests any more",
	})
	ServerLimitInvalid = register(Event{
		Number: 6020, Name: "server_limit_invalid", Level: logrus.WarnLevel,
		Message: "a backend server named a limit of requests that is not a number; its last valid one stays in use",
		Action:  "Report it to the owner of the server.",
	})
	PromptPartRefused = register(Event{
		Number: 6021, Name: "prompt_part_refused", Level: logrus.ErrorLevel,
		Message: "servers crashed each time when they began to answer requests with the prompt_parts; requests with all of these parts are refused; count is the number of crashes if this instance found it",
		Action:  "Report the engine bug with the parts. The refusal ends if such a request is answered, or when its row in the product's table is removed.",
	})
	PromptPartAllowed = register(Event{
		Number: 6022, Name: "prompt_part_allowed", Level: logrus.WarnLevel,
		Message: "requests with the prompt_parts are no longer refused: servers have answered such requests, or the record was removed or has expired",
	})
	PromptPartTrial = register(Event{
		Number: 6023, Name: "prompt_part_trial", Level: logrus.WarnLevel,
		Message: "this instance lets one request with the refused prompt_parts pass, to see whether it still crashes its server; count is the number of such trials so far",
	})
	PromptPartRecordFailed = register(Event{
		Number: 6024, Name: "prompt_part_record_failed", Level: logrus.WarnLevel,
		Message: "the record of refused prompt parts could not be written or read; the refusal itself stays in effect",
	})
	ServerPathChanged = register(Event{
		Number: 6025, Name: "server_path_changed", Level: logrus.WarnLevel,
		Message: "how this instance reaches the backend servers of the service in path; outcome is direct, relayed (other instances connect to them for this one) or cut_off",
		Action:  "For relayed and cut_off, check the network between this instance and the servers. If all instances are cut_off, check the servers.",
	})
	ServerBrittle = register(Event{
		Number: 6026, Name: "server_brittle", Level: logrus.WarnLevel,
		Message: "a backend server announced in an answer, here or to the instance in peer, that it falls over if it has to turn away more than rate requests in a second; it gets no more than it has room for",
		Action:  "The server is in need: check its own logs, and whether the service lacks capacity.",
	})
	ServerBrittleEnded = register(Event{
		Number: 6027, Name: "server_brittle_ended", Level: logrus.InfoLevel,
		Message: "a backend server no longer announces that it is brittle",
	})
	RelayRefused = register(Event{
		Number: 6028, Name: "relay_refused", Level: logrus.InfoLevel,
		Message: "the instance in peer did not connect to the backend server for this one, for the reason in error, after duration_ms; another one is asked",
		Action:  "If most peers refuse, look for 6025 there.",
	})
	ServerFull = register(Event{
		Number: 6029, Name: "server_full", Level: logrus.WarnLevel,
		Message: "a brittle backend server turned a request away, of this instance or of the one in peer; count is the number of requests that this instance has there and load that of all instances as far as it knows",
		Action:  "With a load below the server's slots, the instances did not know of each other's requests; with a load of as many, runs went on whose callers had left.",
	})
	SlotArbiterUnreachable = register(Event{
		Number: 6030, Name: "slot_arbiter_unreachable", Level: logrus.WarnLevel,
		Message: "the instance in peer, which grants the slots of the brittle backend server, did not answer; requests go to other servers or are refused",
		Action:  "Check that instance and the link to it (4102). An instance of an older release does not grant slots.",
	})
	SlotsNotReported = register(Event{
		Number: 6031, Name: "slots_not_reported", Level: logrus.WarnLevel,
		Message: "the instance in peer did not confirm which slots of the brittle backend server this one occupies; it frees them at the requests' deadlines",
		Action:  "Check that instance and the link to it.",
	})
	BrittleServersUnknown = register(Event{
		Number: 6032, Name: "brittle_servers_unknown", Level: logrus.InfoLevel,
		Message: "the instance in peer did not send the list of brittle backend servers to this new process",
	})
	CrashingContentsUnknown = register(Event{
		Number: 6033, Name: "crashing_contents_unknown", Level: logrus.InfoLevel,
		Message: "the instance in peer did not send the contents that disconnect servers to this new process",
	})
	ContentAllowed = register(Event{
		Number: 6034, Name: "content_allowed", Level: logrus.WarnLevel,
		Message: "the content in reason is no longer refused: a server has answered it, or its record was removed or has expired",
	})
	ContentTrial = register(Event{
		Number: 6035, Name: "content_trial", Level: logrus.WarnLevel,
		Message: "this instance lets one request with the refused content in reason pass, to see whether it still disconnects its server; count is the number of such trials so far",
	})
	ContentRecordFailed = register(Event{
		Number: 6036, Name: "content_record_failed", Level: logrus.WarnLevel,
		Message: "the record of the refused content in reason could not be written or read; the refusal itself stays in effect",
	})
	ContentNotStored = register(Event{
		Number: 6037, Name: "content_not_stored", Level: logrus.WarnLevel,
		Message: "the content in reason is refused by this instance only and not stored: as many contents are refused as are stored at most",
		Action:  "Look for a common cause, such as the loss of a failure domain.",
	})
	ContentDisconnectsServers = register(Event{
		Number: 6014, Name: "content_breaks_servers", Level: logrus.ErrorLevel,
		Message: "several servers disconnected, one after another, while running the same request; it is refused",
		Action:  "Find the request's attempts by the server in the log line and report the engine bug. The refusal ends if such a request is answered, or when its row in the product's table is removed.",
	})
)
