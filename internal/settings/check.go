package settings

import (
	"encoding/hex"
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// Upper bounds of the values in documents.
const (
	maxPercent      = 100.0
	maxWeight       = 1e6
	maxCapacity     = 1_000_000
	maxAccelerators = 100_000
	maxTokenKeys    = 16
)

// check validates ranges, references and uniqueness across all documents.
func (p *parser) check() {
	p.checkFleet()
	for _, name := range sortedKeys(p.tree.Models) {
		p.checkModel(name, p.tree.Models[name])
	}
	for _, name := range sortedKeys(p.tree.Services) {
		p.checkService(name, p.tree.Services[name])
	}
	p.checkServers()
	for _, name := range sortedKeys(p.tree.Teams) {
		p.checkTeam(name, p.tree.Teams[name])
	}
	p.checkAccounts()
	for _, team := range sortedKeys(p.tree.Rollouts) {
		p.checkRollouts(team)
	}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func (p *parser) checkFleet() {
	fleet := p.tree.Fleet
	if !p.has(FleetPath) {
		p.findings.Add(FleetPath, "the document is missing")
		return
	}
	if fleet.Region == "" {
		p.addFinding(FleetPath, fieldPath("region"), "region must be set")
	}
	if len(fleet.FailureDomains) == 0 {
		p.addFinding(FleetPath, fieldPath("failure_domains"), "failure_domains must list at least one failure domain")
	}
	p.checkNames(FleetPath, fieldPath("failure_domains"), fleet.FailureDomains)
	p.checkTokenKeys(fleet.TokenKeys)
	p.checkOperators(fleet.Operators)
}

// checkNames reports malformed and duplicate names in a list.
func (p *parser) checkNames(path string, field, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		item := append(slices.Clone(field), index(i))
		if !validName(name) {
			p.addFinding(path, item, "%s: %q is not a name (%s)", strings.Join(field, "."), name, nameRule)
		}
		if seen[name] {
			p.addFinding(path, item, "%s: %q is listed twice", strings.Join(field, "."), name)
		}
		seen[name] = true
	}
}

func (p *parser) checkTokenKeys(keys []TokenKey) {
	if len(keys) == 0 || len(keys) > maxTokenKeys {
		p.addFinding(FleetPath, fieldPath("token_keys"), "token_keys must list 1 to %d keys", maxTokenKeys)
	}
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = key.ID
	}
	p.checkNames(FleetPath, fieldPath("token_keys"), ids)
}

func (p *parser) checkOperators(operators []Operator) {
	names := make([]string, len(operators))
	hashes := make(map[string]string)
	editors := 0
	for i, operator := range operators {
		names[i] = operator.Name
		field := fieldPath("operators", index(i))
		p.checkHash(FleetPath, append(field, "key_sha256"), operator.KeySHA256)
		if other, taken := hashes[operator.KeySHA256]; taken {
			p.addFinding(FleetPath, field, "operators %q and %q have the same key", other, operator.Name)
		}
		hashes[operator.KeySHA256] = operator.Name
		if operator.Role != RoleReader && operator.Role != RoleEditor {
			p.addFinding(FleetPath, append(field, "role"), "role must be %q or %q, not %q", RoleReader, RoleEditor, operator.Role)
		}
		if !strings.HasPrefix(operator.Subtree, "/") {
			p.addFinding(FleetPath, append(field, "subtree"), "subtree must be a path that starts with \"/\"")
		}
		if operator.Role == RoleEditor && operator.Subtree == "/" {
			editors++
		}
	}
	p.checkNames(FleetPath, fieldPath("operators"), names)
	if editors == 0 {
		p.addFinding(FleetPath, fieldPath("operators"), "operators must hold an editor of the whole tree, or nobody could change settings again")
	}
}

func (p *parser) checkHash(path string, field []string, sum string) {
	raw, err := hex.DecodeString(sum)
	if err != nil || len(raw) != 32 || strings.ToLower(sum) != sum {
		p.addFinding(path, field, "a key must be given as the lower-case hexadecimal SHA-256 of it, 64 digits")
	}
}

func (p *parser) checkModel(name string, model Model) {
	path := ModelPath(name)
	if len(model.Versions) == 0 {
		p.addFinding(path, fieldPath("versions"), "versions must hold at least one version")
	}
	for _, id := range sortedKeys(model.Versions) {
		version := model.Versions[id]
		p.checkMin(path, fieldPath("versions", id, "input_cost"), float64(version.InputCost), 0)
		p.checkMin(path, fieldPath("versions", id, "output_cost"), float64(version.OutputCost), 0)
	}
}

// checkMin reports a value below the minimum; NaN is reported too.
func (p *parser) checkMin(path string, field []string, value, minValue float64) {
	if !(value >= minValue) {
		p.addFinding(path, field, "%s must be at least %v, not %v", strings.Join(field, "."), minValue, value)
	}
}

// checkRange reports a value outside [minValue, maxValue]; NaN is reported too.
func (p *parser) checkRange(path string, field []string, value, minValue, maxValue float64) {
	if !(value >= minValue && value <= maxValue) {
		p.addFinding(path, field, "%s must be from %v to %v, not %v", strings.Join(field, "."), minValue, maxValue, value)
	}
}

var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

func (p *parser) checkService(name string, service Service) {
	path := "/" + servicesPrefix + "/" + name
	p.checkMin(path, fieldPath("call_cost"), float64(service.CallCost), 0)
	for i, operation := range service.Operations {
		field := fieldPath("operations", index(i))
		if !slices.Contains(methods, operation.Method) {
			p.addFinding(path, append(field, "method"), "method must be one of %s, not %q", strings.Join(methods, ", "), operation.Method)
		}
		if !strings.HasPrefix(operation.PathPrefix, "/") {
			p.addFinding(path, append(field, "path_prefix"), "path_prefix must start with \"/\"")
		}
	}
}

func (p *parser) checkServers() {
	addresses := make(map[string]string)
	for _, name := range sortedKeys(p.tree.Servers) {
		server := p.tree.Servers[name]
		path := "/" + serversPrefix + "/" + name
		p.checkServer(path, server)
		if other, taken := addresses[server.Address]; taken && server.Address != "" {
			p.addFinding(path, fieldPath("address"), "address %s is also that of server %q", server.Address, other)
		}
		addresses[server.Address] = name
	}
}

func (p *parser) checkServer(path string, server Server) {
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		p.addFinding(path, fieldPath("address"), "address must be ip:port, not %q", server.Address)
	}
	if !slices.Contains(p.tree.Fleet.FailureDomains, server.FailureDomain) {
		p.addFinding(path, fieldPath("failure_domain"), "failure_domain %q is not listed in %s", server.FailureDomain, FleetPath)
	}
	p.checkRange(path, fieldPath("capacity"), float64(server.Capacity), 1, maxCapacity)
	p.checkRange(path, fieldPath("accelerators"), float64(server.Accelerators), 0, maxAccelerators)
	if (len(server.Models) == 0) == (server.Service == "") {
		p.addFinding(path, fieldPath("models"), "a server must have either models or a service")
	}
	p.checkModelRefs(path, fieldPath("models"), server.Models)
	if server.Service != "" {
		p.checkServiceRef(path, fieldPath("service"), server.Service)
	}
}

func (p *parser) checkModelRefs(path string, field, models []string) {
	p.checkNames(path, field, models)
	for i, model := range models {
		if !p.has(ModelPath(model)) {
			p.addFinding(path, append(slices.Clone(field), index(i)), "model %q does not exist", model)
		}
	}
}

func (p *parser) checkServiceRef(path string, field []string, service string) {
	if !p.has("/" + servicesPrefix + "/" + service) {
		p.addFinding(path, field, "service %q does not exist", service)
	}
}

func (p *parser) checkTeam(name string, team Team) {
	path := "/" + teamsPrefix + "/" + name
	p.checkRange(path, fieldPath("quality_target"), team.QualityTarget, 0, 1)
	if team.Deadline <= 0 {
		p.addFinding(path, fieldPath("deadline"), "deadline must be longer than zero")
	}
	for _, model := range sortedKeys(team.Models) {
		p.checkTeamModel(path, model, team.Models[model])
	}
	for _, task := range sortedKeys(team.Cascades) {
		p.checkCascade(path, task, team)
	}
	if _, ok := team.Cascades[DefaultTask]; !ok && len(team.Models) > 0 {
		p.addFinding(path, fieldPath("cascades"), "cascades must hold the task %q", DefaultTask)
	}
	p.checkNames(path, fieldPath("services"), team.Services)
	for i, service := range team.Services {
		p.checkServiceRef(path, fieldPath("services", index(i)), service)
	}
}

func (p *parser) checkTeamModel(path, name string, use TeamModel) {
	field := fieldPath("models", name)
	if !p.has(ModelPath(name)) {
		p.addFinding(path, field, "model %q does not exist", name)
		return
	}
	if !slices.Contains(use.Allowed, use.Stable) {
		p.addFinding(path, append(field, "stable"), "stable version %q of %q is not in allowed", use.Stable, name)
	}
	p.checkNames(path, append(field, "allowed"), use.Allowed)
	for i, version := range use.Allowed {
		if !p.hasVersion(name, version) {
			p.addFinding(path, append(field, "allowed", index(i)), "version %s@%s does not exist", name, version)
		}
	}
}

func (p *parser) hasVersion(model, version string) bool {
	_, ok := p.tree.Models[model].Versions[version]
	return ok
}

func (p *parser) checkCascade(path, task string, team Team) {
	cascade := team.Cascades[task]
	field := fieldPath("cascades", task)
	p.checkRange(path, append(field, "quality_target"), cascade.QualityTarget, 0, 1)
	if len(cascade.Models) == 0 {
		p.addFinding(path, field, "cascade %q must list at least one model", task)
	}
	p.checkNames(path, append(field, "models"), cascade.Models)
	for i, model := range cascade.Models {
		if _, ok := team.Models[model]; !ok {
			p.addFinding(path, append(field, "models", index(i)), "cascade %q: the team may not use model %q", task, model)
		}
	}
}

func (p *parser) checkAccounts() {
	owners := make(map[string]AccountID)
	for _, team := range sortedKeys(p.tree.Accounts) {
		for _, name := range sortedKeys(p.tree.Accounts[team]) {
			path := AccountPath(team, name)
			p.checkTeamExists(path, team)
			p.checkAccount(path, team, p.tree.Accounts[team][name])
			p.checkKeyOwners(path, NewAccountID(team, name), owners)
		}
	}
}

func (p *parser) checkTeamExists(path, team string) {
	if !p.has("/" + teamsPrefix + "/" + team) {
		p.addFinding(path, nil, "team %q does not exist", team)
	}
}

func (p *parser) checkAccount(path, team string, account Account) {
	for i, sum := range account.KeySHA256 {
		p.checkHash(path, fieldPath("key_sha256", index(i)), sum)
	}
	p.checkRange(path, fieldPath("weight"), account.Weight, 0, maxWeight)
	p.checkNames(path, fieldPath("models"), account.Models)
	for i, model := range account.Models {
		if _, ok := p.tree.Teams[team].Models[model]; !ok && p.has("/"+teamsPrefix+"/"+team) {
			p.addFinding(path, fieldPath("models", index(i)), "the team may not use model %q", model)
		}
	}
	p.checkMin(path, fieldPath("limits", "connections"), float64(account.Limits.Connections), 0)
	p.checkMin(path, fieldPath("limits", "body_bytes"), float64(account.Limits.BodyBytes), 0)
	p.checkMin(path, fieldPath("limits", "requests_per_second"), account.Limits.RequestsPerSecond, 0)
}

// checkKeyOwners reports a caller's key that is listed in more than one client account.
func (p *parser) checkKeyOwners(path string, id AccountID, owners map[string]AccountID) {
	team, name, _ := strings.Cut(string(id), "/")
	for i, sum := range p.tree.Accounts[team][name].KeySHA256 {
		if owner, taken := owners[sum]; taken {
			p.addFinding(path, fieldPath("key_sha256", index(i)), "the key also belongs to client account %q", owner)
			continue
		}
		owners[sum] = id
	}
}

func (p *parser) checkRollouts(team string) {
	running := make(map[string]string)
	for _, name := range sortedKeys(p.tree.Rollouts[team]) {
		path := RolloutPath(team, name)
		rollout := p.tree.Rollouts[team][name]
		p.checkTeamExists(path, team)
		p.checkRollout(path, team, rollout)
		if rollout.Status != RolloutRunning && rollout.Status != RolloutPaused {
			continue
		}
		if other, taken := running[rollout.Model]; taken {
			p.addFinding(path, fieldPath("model"), "roll-out %q of model %q is also under way", other, rollout.Model)
		}
		running[rollout.Model] = name
	}
}

var rolloutStatuses = []string{
	string(RolloutRunning), string(RolloutPaused), string(RolloutComplete), string(RolloutWithdrawn),
}

func (p *parser) checkRollout(path, team string, rollout Rollout) {
	if !slices.Contains(rolloutStatuses, string(rollout.Status)) {
		p.addFinding(path, fieldPath("status"), "status must be one of %s, not %q", quoted(rolloutStatuses), rollout.Status)
	}
	p.checkRolloutVersions(path, team, rollout)
	p.checkRange(path, fieldPath("bad_rate"), rollout.BadRate, 0, 1)
	if len(rollout.Stages) == 0 {
		p.addFinding(path, fieldPath("stages"), "stages must hold at least one stage")
		return
	}
	p.checkRange(path, fieldPath("stage"), float64(rollout.Stage), 0, float64(len(rollout.Stages)-1))
	p.checkStages(path, rollout.Stages)
}

func (p *parser) checkRolloutVersions(path, team string, rollout Rollout) {
	use, ok := p.tree.Teams[team].Models[rollout.Model]
	if !ok {
		if p.has("/" + teamsPrefix + "/" + team) {
			p.addFinding(path, fieldPath("model"), "the team may not use model %q", rollout.Model)
		}
		return
	}
	if !slices.Contains(use.Allowed, rollout.From) {
		p.addFinding(path, fieldPath("from"), "the team may not use version %s@%s", rollout.Model, rollout.From)
	}
	if !slices.Contains(use.Allowed, rollout.To) {
		p.addFinding(path, fieldPath("to"), "the team may not use version %s@%s", rollout.Model, rollout.To)
	}
	if rollout.From == rollout.To {
		p.addFinding(path, fieldPath("to"), "from and to must be different versions")
	}
}

func (p *parser) checkStages(path string, stages []Stage) {
	last := 0.0
	for i, stage := range stages {
		field := fieldPath("stages", index(i))
		p.checkRange(path, append(field, "percent"), stage.Percent, 0, maxPercent)
		p.checkMin(path, append(field, "min_samples"), float64(stage.MinSamples), 0)
		p.checkMin(path, append(field, "min_duration"), float64(stage.MinDuration), 0)
		if stage.Percent < last {
			p.addFinding(path, append(field, "percent"), "a stage must not have a smaller percent than the one before it")
		}
		last = stage.Percent
	}
}
