package admission

import (
	"cmp"
	"maps"
	"slices"

	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/settings"
)

// floorFraction is the fraction of the mean service that each priority gets at least, so that none starves.
const floorFraction = 0.25

// Class is the requests that are treated alike.
type Class struct {
	// Priority is the priority of the account or else of the route; 0 is the most urgent.
	Priority int
	Account  settings.AccountID
}

// shares returns the fraction of each class's demand that is admitted with a capacity, both in cost per second: the most urgent
// priority first, within a priority by max-min fairness among the accounts.
func shares(capacity float64, demand map[Class]float64) map[Class]float64 {
	levels := make(map[int][]flowcontrol.AccountDemand)
	sums := make(map[int]float64)
	total := 0.0
	for class, cost := range demand {
		if cost <= 0 {
			continue
		}
		levels[class.Priority] = append(levels[class.Priority], flowcontrol.AccountDemand{Account: class.Account, Requests: cost})
		sums[class.Priority] += cost
		total += cost
	}
	admitted := make(map[Class]float64, len(demand))
	if total == 0 {
		return admitted
	}
	floor := floorFraction * min(1, capacity/total)
	left := capacity - floor*total
	for _, priority := range slices.Sorted(maps.Keys(levels)) {
		level := floor*sums[priority] + max(0, min(left, (1-floor)*sums[priority]))
		left -= level - floor*sums[priority]
		accounts := levels[priority]
		slices.SortFunc(accounts, func(a, b flowcontrol.AccountDemand) int { return cmp.Compare(a.Account, b.Account) })
		fair := flowcontrol.MaxMin(level, accounts)
		for _, a := range accounts {
			admitted[Class{priority, a.Account}] = min(1, fair[a.Account]/a.Requests)
		}
	}
	return admitted
}
