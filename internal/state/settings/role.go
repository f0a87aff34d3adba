package settings

import (
	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Role names whose settings a file holds.
type Role string

// The roles that read a settings file.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleConsole  Role = "console"
)

// telling are the fields that only the settings of one role have.
var telling = map[string]Role{
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

// DetectRole returns the role whose fields the text has, or an empty role if it
// has those of none or of several.
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
		role, ok := telling[me.Name.Value.(hujson.Literal).String()]
		if ok && found != "" && role != found {
			return ""
		}
		if ok {
			found = role
		}
	}
	return found
}

// Check reads a settings file as the role does and returns the role. With an
// empty role it takes the one whose fields the file has.
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
		// Any role reports a syntax error; another file names no role.
		if _, err = Parse(path, data, struct{}{}); err == nil {
			err = errors.Errorf("%s: the role can't be told from its fields", path)
		}
	}
	return role, err
}
