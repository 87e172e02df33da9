//go:build !race

package dispatch

// largestFleet is the number of instances of the largest simulated fleet.
const largestFleet = 1200

// largestBrittleFleet is the number of instances of the largest simulated fleet before
// overloaded servers.
const largestBrittleFleet = 84
