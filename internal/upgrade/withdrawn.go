package upgrade

import (
	"slices"

	"github.com/basilrail/basilrail/internal/statechart"
)

// withdraw records the target of an upgrade that is replaced if it was judged bad: its
// servers remain for some time. The caller holds the lock.
func (c *Controller) withdraw(u *upgradeState) {
	if u == nil || !u.isWithdrawn() {
		return
	}
	service := u.upgrade.Service
	list := append(c.withdrawn[service], u.upgrade.To)
	c.withdrawn[service] = list[max(0, len(list)-maxEarlier):]
}

// isWithdrawn reports whether the new release was judged bad. The settled release never is.
func (u *upgradeState) isWithdrawn() bool {
	if u.isReturn {
		return false
	}
	state := u.machine.State()
	return state == statechart.UpgradeReverted || u.bad && state != statechart.UpgradeCompleted
}

// IsWithdrawn implements dispatch.Releases.
func (c *Controller) IsWithdrawn(service, release string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isWithdrawn(service, release)
}

// isWithdrawn implements IsWithdrawn. The caller holds the lock.
func (c *Controller) isWithdrawn(service, release string) bool {
	if u := c.upgrades[service]; u != nil && u.upgrade.To == release {
		return u.isWithdrawn()
	}
	return slices.Contains(c.withdrawn[service], release)
}
