package waybill

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// encodedRoute is the route of one address. It refers to services by their index
// in encodedRoutes.Services, which names each service once.
type encodedRoute struct {
	_             struct{} `cbor:",toarray"`
	Address       netip.AddrPort
	Services      []encodedWeight
	LatencyTarget time.Duration
	Priority      uint8
}

// encodedWeight is the weight of a service, given by its index in
// encodedRoutes.Services.
type encodedWeight struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Weight  uint32
}

// encodedRoutes is the CBOR form in which processes send routes to each other.
type encodedRoutes struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	IdleTimeout time.Duration
	Services    []string
	Routes      []encodedRoute
	// HealthPaths also holds what was added later; see extendedHealthPaths.
	HealthPaths map[string]string
}

// canonicalMode encodes maps sorted by their keys, so that equal maps give equal
// bytes.
var canonicalMode = mustEncMode(cbor.EncOptions{Sort: cbor.SortBytewiseLexical})

func mustEncMode(op cbor.EncOptions) cbor.EncMode {
	em, err := op.EncMode()
	if err != nil {
		panic(err)
	}
	return em
}

// EncodeRoutes returns the routes in CBOR. Equal routes give equal bytes.
func EncodeRoutes(ro *catalog.Routes) ([]byte, error) {
	en := encodedRoutes{Version: ro.Version, IdleTimeout: ro.IdleTimeout}
	indexes := make(map[string]uint32)
	addresses := make([]netip.AddrPort, 0, len(ro.Addresses))
	for address := range ro.Addresses {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int { return a.Compare(b) })
	en.HealthPaths = extendedHealthPaths(ro, addresses)
	for _, address := range addresses {
		found := ro.Addresses[address]
		er := encodedRoute{Address: address, LatencyTarget: found.LatencyTarget, Priority: found.Priority}
		for _, ws := range found.Services {
			index, ok := indexes[ws.Service]
			if !ok {
				index = uint32(len(en.Services))
				indexes[ws.Service] = index
				en.Services = append(en.Services, ws.Service)
			}
			er.Services = append(er.Services, encodedWeight{Service: index, Weight: ws.Weight})
		}
		en.Routes = append(en.Routes, er)
	}
	data, err := canonicalMode.Marshal(en)
	if err != nil {
		return nil, errors.Wrap(err, "encode routes")
	}
	return data, nil
}

// DecodeRoutes decodes routes from CBOR. The error wraps ErrMalformed if a route
// refers to a service that the list lacks.
func DecodeRoutes(data []byte) (*catalog.Routes, error) {
	var en encodedRoutes
	if err := cbor.Unmarshal(data, &en); err != nil {
		return nil, errors.Wrap(err, "decode routes")
	}
	coverage, former := takeCoverage(en.HealthPaths, en.Version), takeFormer(en.HealthPaths)
	healthPaths, warmUps := splitWarmUps(en.HealthPaths)
	ro := &catalog.Routes{
		Version: en.Version, Coverage: coverage, IdleTimeout: en.IdleTimeout, HealthPaths: healthPaths, WarmUps: warmUps,
		Addresses: make(map[netip.AddrPort]catalog.Route, len(en.Routes)),
	}
	if len(former) > 0 {
		ro.Former = make(map[catalog.FormerService]uint64, len(former))
	}
	for i, found := range en.Routes {
		de := make(catalog.WeightedServices, 0, len(found.Services))
		for k, ew := range found.Services {
			if int(ew.Service) >= len(en.Services) {
				return nil, errors.Wrap(ErrMalformed, "decode routes: service index out of range")
			}
			ws := catalog.WeightedService{Service: en.Services[ew.Service], Weight: ew.Weight}
			de = append(de, ws)
			if version, ok := former[formerIndex{route: i, service: k}]; ok && ws.Weight == 0 {
				ro.Former[catalog.FormerService{Address: found.Address, Service: ws.Service}] = version
			}
		}
		ro.Addresses[found.Address] = catalog.Route{Services: de, LatencyTarget: found.LatencyTarget, Priority: found.Priority}
	}
	return ro, nil
}
