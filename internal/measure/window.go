package measure

import "fmt"

func init() { Register(30, "window", measureWindow) }

// windowCase is a pool whose declared capacity matches the real one or not.
type windowCase struct {
	desc     string
	declared int
	slowdown float64
}

// measureWindow compares the adaptive admission window with the fixed one,
// which the router uses. The conclusion is in docs/design/fair-shares.md.
func measureWindow(seed uint64) []Row {
	cases := []windowCase{
		{desc: "capacity declared right", declared: poolCapacity, slowdown: 1},
		{desc: "engines at a third of their speed", declared: poolCapacity, slowdown: 3},
		{desc: "capacity declared twice too high", declared: 2 * poolCapacity, slowdown: 1},
		{desc: "capacity declared half of what it is", declared: poolCapacity / 2, slowdown: 1},
	}
	rows := make([]Row, 0, len(cases))
	for _, c := range cases {
		rows = append(rows, c.row(seed))
	}
	return rows
}

func (c windowCase) row(seed uint64) Row {
	small := arrivals(smallAccount, smallRate, seed)
	flood := arrivals(largeAccount, floodRate, seed)
	options := poolOptions{fair: true, instanceCount: 8, declared: c.declared, slowdown: c.slowdown}
	fixed := runPool(options, seed, small, flood)
	options.adaptive = true
	adaptive := runPool(options, seed, small, flood)
	return Row{
		Name:     "admission window, " + c.desc,
		Baseline: "adaptive " + adaptive.summary(),
		Ours:     "fixed " + fixed.summary(),
		Target:   "no worse than adaptive in both",
		Pass:     !adaptive.beats(fixed),
	}
}

func (r *poolResult) summary() string {
	return fmt.Sprintf("%s, %.0f tokens/s", round(r.smallP95()), r.perSecond())
}

// beats reports whether a result is better than another by more than noise in the
// small client account's p95 time to first token or in the goodput, and not worse in
// either.
func (r *poolResult) beats(other *poolResult) bool {
	const noise = 0.05
	time := float64(r.smallP95()) / float64(other.smallP95())
	goodput := float64(r.tokens) / float64(other.tokens)
	isBetter := time < 1-noise || goodput > 1+noise
	isWorse := time > 1+noise || goodput < 1-noise
	return isBetter && !isWorse
}
