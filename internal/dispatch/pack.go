package dispatch

import (
	"slices"

	"github.com/basilrail/basilrail/internal/fleet"
)

// packedUtilization is the part of a server's slots up to which requests are packed onto it.
const packedUtilization = 0.5

// packed adds a first list of exclusions that leaves only the server onto which the requests of a
// release under trial are packed: the first one, by hash and thus the same at all instances, that
// is not excluded and has free slots. All other lists stay. Requests with prompts are not packed:
// other prompts at the server would delay their first event.
func (x *exchange) packed(lists [][]string, snap *fleet.Snapshot, release string) [][]string {
	if release == "" || x.route.CarriesPrompt || len(lists) == 0 || !x.d.Releases.Packs(x.service, release) {
		return lists
	}
	servers := snap.Candidates(x.service, release)
	at := -1
	for i, server := range servers {
		isFree := float64(server.TotalLoad().Requests) < packedUtilization*float64(server.Settings.Capacity)
		if status := server.Status(); isFree && !status.Draining && !status.Evacuated && !slices.Contains(lists[0], server.ID) {
			at = i
			break
		}
	}
	if at < 0 {
		return lists
	}
	others := slices.Clone(lists[0])
	for i, server := range servers {
		if i != at {
			others = append(others, server.ID)
		}
	}
	return slices.Insert(slices.Clone(lists), 0, others)
}
