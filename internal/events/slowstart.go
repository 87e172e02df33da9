package events

import "github.com/sirupsen/logrus"

// Events of backend servers that are cold.
var ServerCold = register(Event{
	Number: 6111, Name: "server_cold", Level: logrus.InfoLevel,
	Message: "a backend server reports that it is cold for duration_ms; it gets few requests meanwhile, and more in steps after it",
	Action:  "None if the server has just started; otherwise check the backend server's own logs for the cause.",
})
