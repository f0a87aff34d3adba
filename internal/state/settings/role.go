package settings

import (
	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Role is the role of the process that a settings file is for.
type Role string

// The roles that read a settings file.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleConsole  Role = "console"
)

// roleByField has the fields that the settings of a single role have.
var roleByField = map[string]Role{
	"Callers":   RoleBalancer,
	"Hosts":     RoleBalancer,
	"Fabric":    RoleBalancer,
	"Services":  RoleBalancer,
	"Datagrams": RoleAgent,
	"Service":   RoleAgent,
	"Backend":   RoleAgent,
	"Slots":     RoleAgent,
	"Balancers": RoleConsole,
	"Owner":     RoleConsole,
	"OwnerKey":  RoleConsole,
	"History":   RoleConsole,
}

// DetectRole returns the role to which the fields in the text belong, by those in
// roleByField. It returns an empty role if the text has such fields of no role or
// of several, or isn't valid.
func DetectRole(data []byte) Role {
	root, err := hujson.Parse(data)
	if err != nil {
		return ""
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	var found Role
	for _, me := range object.Members {
		role, ok := roleByField[me.Name.Value.(hujson.Literal).String()]
		if ok && found != "" && role != found {
			return ""
		}
		if ok {
			found = role
		}
	}
	return found
}

// Check loads a settings file as a process of the role does, and returns the
// role. An empty role is detected from the fields of the file. The errors are
// those of Load, or that the role can't be determined.
func Check(path string, role Role) (Role, error) {
	data, err := readBounded(path)
	if err != nil {
		return role, errors.Wrap(err, "read settings")
	}
	if role == "" {
		role = DetectRole(data)
	}
	switch role {
	case RoleBalancer:
		_, err = Parse(path, data, DefaultBalancer())
	case RoleAgent:
		_, err = Parse(path, data, DefaultAgent())
	case RoleConsole:
		_, err = Parse(path, data, DefaultConsole())
	default:
		// A syntax error is reported as such, whatever the role.
		if _, err = Parse(path, data, struct{}{}); err == nil {
			err = errors.Errorf("%s: the role can't be determined from the fields of the file", path)
		}
	}
	return role, err
}
