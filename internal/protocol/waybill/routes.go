package waybill

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// route is one address of encoded routes. Services are named once, in a list.
type route struct {
	_        struct{} `cbor:",toarray"`
	Address  netip.AddrPort
	Services []share
	Goal     time.Duration
	Priority uint8
}

// share is a service, by its place in the list, with its weight.
type share struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Weight  uint32
}

// encodedRoutes is the form in which processes hand routes to each other.
type encodedRoutes struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	IdleTimeout time.Duration
	Services    []string
	Routes      []route
	HealthPaths map[string]string
}

// sorted encodes maps in the order of their keys.
var sorted = mustEncMode(cbor.EncOptions{Sort: cbor.SortBytewiseLexical})

func mustEncMode(op cbor.EncOptions) cbor.EncMode {
	em, err := op.EncMode()
	if err != nil {
		panic(err)
	}
	return em
}

// EncodeRoutes returns the routes in CBOR; equal routes give equal bytes.
func EncodeRoutes(ro *catalog.Routes) ([]byte, error) {
	en := encodedRoutes{Version: ro.Version, IdleTimeout: ro.IdleTimeout, HealthPaths: ro.HealthPaths}
	places := make(map[string]uint32)
	addresses := make([]netip.AddrPort, 0, len(ro.Addresses))
	for address := range ro.Addresses {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int { return a.Compare(b) })
	for _, address := range addresses {
		found := ro.Addresses[address]
		added := route{Address: address, Goal: found.LatencyTarget, Priority: found.Priority}
		for _, ws := range found.Services {
			place, ok := places[ws.Service]
			if !ok {
				place = uint32(len(en.Services))
				places[ws.Service] = place
				en.Services = append(en.Services, ws.Service)
			}
			added.Services = append(added.Services, share{Service: place, Weight: ws.Weight})
		}
		en.Routes = append(en.Routes, added)
	}
	data, err := sorted.Marshal(en)
	if err != nil {
		return nil, errors.Wrap(err, "encode routes")
	}
	return data, nil
}

// DecodeRoutes reads routes in CBOR.
func DecodeRoutes(data []byte) (*catalog.Routes, error) {
	var en encodedRoutes
	if err := cbor.Unmarshal(data, &en); err != nil {
		return nil, errors.Wrap(err, "decode routes")
	}
	ro := &catalog.Routes{
		Version: en.Version, IdleTimeout: en.IdleTimeout, HealthPaths: en.HealthPaths,
		Addresses: make(map[netip.AddrPort]catalog.Route, len(en.Routes)),
	}
	for _, found := range en.Routes {
		de := make(catalog.WeightedServices, 0, len(found.Services))
		for _, sh := range found.Services {
			if int(sh.Service) >= len(en.Services) {
				return nil, errors.Wrap(ErrMalformed, "decode routes: unknown service")
			}
			de = append(de, catalog.WeightedService{Service: en.Services[sh.Service], Weight: sh.Weight})
		}
		ro.Addresses[found.Address] = catalog.Route{Services: de, LatencyTarget: found.Goal, Priority: found.Priority}
	}
	return ro, nil
}
