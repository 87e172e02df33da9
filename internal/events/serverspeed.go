package events

import "github.com/sirupsen/logrus"

// Events of the speeds of backend servers.
var (
	ServerSpeedsDiffer = register(Event{
		Number: 6121, Name: "server_speeds_differ", Level: logrus.InfoLevel,
		Message: "the backend servers of a service are of different speeds, which is taken into account from now on; rate is the ratio between slow and fast ones and count the number with a known speed",
		Action:  "None if the machines differ; otherwise compare the speeds in exchange_attempt with the backend servers' own logs.",
	})
	ServerSpeedsAlike = register(Event{
		Number: 6122, Name: "server_speeds_alike", Level: logrus.InfoLevel,
		Message: "the backend servers of a service are not shown to be of different speeds any more",
	})
)
