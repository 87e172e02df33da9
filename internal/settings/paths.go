package settings

import "strings"

// documentKind is the kind of document at a path.
type documentKind int

const (
	kindUnknown documentKind = iota
	kindFleet
	kindModel
	kindService
	kindServer
	kindTeam
	kindAccount
	kindRollout
)

// The paths and path prefixes of the tree.
const (
	// FleetPath is the path of the Fleet document.
	FleetPath      = "/fleet"
	modelsPrefix   = "models"
	servicesPrefix = "services"
	serversPrefix  = "servers"
	teamsPrefix    = "teams"
	accountsName   = "accounts"
	rolloutsName   = "rollouts"
)

// MaxNameBytes is the maximum length of a name in a path or a document.
const MaxNameBytes = 64

const nameRule = "lower-case letters, digits, '.', '_' and '-', starting with a letter or digit"

// location is a parsed path.
type location struct {
	kind documentKind
	// team is set for teams, accounts and rollouts.
	team string
	name string
}

// locate parses a document's path; its kind is kindUnknown if the path is invalid.
func locate(path string) location {
	rest, absolute := strings.CutPrefix(path, "/")
	parts := strings.Split(rest, "/")
	if !absolute || !allNames(parts) {
		return location{}
	}
	switch len(parts) {
	case 1:
		if path == FleetPath {
			return location{kind: kindFleet}
		}
	case 2:
		return locatePair(parts[0], parts[1])
	case 4:
		return locateInTeam(parts)
	}
	return location{}
}

func locatePair(prefix, name string) location {
	switch prefix {
	case modelsPrefix:
		return location{kind: kindModel, name: name}
	case servicesPrefix:
		return location{kind: kindService, name: name}
	case serversPrefix:
		return location{kind: kindServer, name: name}
	case teamsPrefix:
		return location{kind: kindTeam, team: name, name: name}
	default:
		return location{}
	}
}

func locateInTeam(parts []string) location {
	if parts[0] != teamsPrefix {
		return location{}
	}
	switch parts[2] {
	case accountsName:
		return location{kind: kindAccount, team: parts[1], name: parts[3]}
	case rolloutsName:
		return location{kind: kindRollout, team: parts[1], name: parts[3]}
	default:
		return location{}
	}
}

func allNames(parts []string) bool {
	for _, part := range parts {
		if !validName(part) {
			return false
		}
	}
	return true
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i, r := range name {
		alphanumeric := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return true
}

// ModelPath is the path of a model's document.
func ModelPath(model string) string { return "/" + modelsPrefix + "/" + model }

// AccountPath is the path of a client account's document.
func AccountPath(team, name string) string {
	return "/" + teamsPrefix + "/" + team + "/" + accountsName + "/" + name
}

// RolloutPath is the path of a rollout's document.
func RolloutPath(team, name string) string {
	return "/" + teamsPrefix + "/" + team + "/" + rolloutsName + "/" + name
}

// Covers reports whether the subtree contains the path. "/" contains every path;
// any other subtree contains its own path and all paths below it.
func Covers(subtree, path string) bool {
	if subtree == "/" {
		return true
	}
	subtree = strings.TrimSuffix(subtree, "/")
	return path == subtree || strings.HasPrefix(path, subtree+"/")
}
