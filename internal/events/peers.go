package events

import "github.com/sirupsen/logrus"

// Events of the peers and the membership list.
var (
	MembershipUnavailable = register(Event{
		Number: 4001, Name: "membership_unavailable", Level: logrus.WarnLevel,
		Message: "the membership list can't be read; the last known view stays in use",
		Action:  "Check the platform's membership service. Requests continue.",
	})
	MembershipRestored = register(Event{
		Number: 4002, Name: "membership_restored", Level: logrus.InfoLevel,
		Message: "the membership list can be read again",
	})
	PeerConnected = register(Event{
		Number: 4101, Name: "peer_connected", Level: logrus.InfoLevel,
		Message: "a connection to a peer was established",
	})
	PeerDisconnected = register(Event{
		Number: 4102, Name: "peer_disconnected", Level: logrus.WarnLevel,
		Message: "a connection to a peer was closed",
		Action:  "None if the peer left. Otherwise check the network between the failure domains.",
	})
	PeerRejected = register(Event{
		Number: 4103, Name: "peer_rejected", Level: logrus.WarnLevel,
		Message: "a connection to the peer listener was refused",
		Action:  "Check that all instances have the same peer secret and run compatible versions.",
	})
	InstanceListFailed = register(Event{
		Number: 4104, Name: "instance_list_failed", Level: logrus.WarnLevel,
		Message: "the list of instances can't be read or written; the last known list stays in use",
		Action:  "Check the platform's store. Requests continue.",
	})
)
