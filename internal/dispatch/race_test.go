//go:build race

package dispatch

// largestFleet is the number of instances of the largest simulated fleet. The race detector
// makes one of 1,200 take minutes.
const largestFleet = 195

// largestBrittleFleet is the number of instances of the largest simulated fleet before
// overloaded servers.
const largestBrittleFleet = 9
