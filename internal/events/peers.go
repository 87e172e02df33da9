package events
