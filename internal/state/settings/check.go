package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"time"
)

// minSecretBytes is the least length of the deployment's secret.
const minSecretBytes = 16

// listener is an address that the process would listen on.
type listener struct {
	field   string
	address netip.AddrPort
}

// checker adds the faults of values that are well formed.
type checker struct {
	*document
	listeners map[string][]listener
}

// checkRole adds the faults that concern several fields of a role.
func (ch *checker) checkRole(loaded any) {
	switch st := loaded.(type) {
	case *Balancer:
		st.check(ch)
	case *Agent:
		st.check(ch)
	case *Console:
		st.check(ch)
	}
}

// checkTags adds the faults against the tags of the fields.
func (ch *checker) checkTags(va reflect.Value, field string) {
	switch va.Kind() {
	case reflect.Struct:
		for i := range va.NumField() {
			ch.checkField(va.Type().Field(i), va.Field(i), field)
		}
	case reflect.Slice:
		for i := range va.Len() {
			ch.checkTags(va.Index(i), fmt.Sprintf("%s[%d]", field, i))
		}
	}
}

func (ch *checker) checkField(fi reflect.StructField, va reflect.Value, parent string) {
	if !fi.IsExported() {
		return
	}
	if fi.Anonymous {
		ch.checkTags(va, parent)
		return
	}
	path := join(parent, fi.Name)
	if ch.has(path) {
		return
	}
	if fi.Tag.Get("need") != "" && (va.IsZero() || va.Kind() == reflect.Slice && va.Len() == 0) {
		ch.fault(path, "nothing", "a value, as it has no default")
		return
	}
	ch.checkBounds(fi.Tag, va, path)
	address, isAddress := va.Interface().(netip.AddrPort)
	if protocol := fi.Tag.Get("listen"); protocol != "" && isAddress && address.IsValid() {
		ch.listeners[protocol] = append(ch.listeners[protocol], listener{field: path, address: address})
	}
	if fi.Tag.Get("announce") != "" && (address.Addr().IsUnspecified() || address.Port() == 0) {
		ch.fault(path, address.String(), "an address and port at which other processes reach this one")
	}
	if !isAddress {
		ch.checkTags(va, path)
	}
}

// checkBounds compares a number or duration with its tags.
func (ch *checker) checkBounds(tag reflect.StructTag, va reflect.Value, field string) {
	least, most := tag.Get("min"), tag.Get("max")
	if least == "" || most == "" {
		return
	}
	if du, ok := va.Interface().(Duration); ok {
		low, _ := time.ParseDuration(least)
		high, _ := time.ParseDuration(most)
		if time.Duration(du) < low || time.Duration(du) > high {
			ch.fault(field, time.Duration(du).String(), fmt.Sprintf("from %s to %s", least, most))
		}
		return
	}
	low, _ := strconv.ParseInt(least, 10, 64)
	high, _ := strconv.ParseInt(most, 10, 64)
	number := int64(0)
	if va.CanInt() {
		number = va.Int()
	} else if va.CanUint() {
		number = int64(va.Uint())
	}
	if number < low || number > high {
		ch.fault(field, strconv.FormatInt(number, 10), fmt.Sprintf("from %s to %s", least, most))
	}
}

// checkListeners adds a fault for each two addresses that can't both be taken.
func (ch *checker) checkListeners() {
	for _, list := range ch.listeners {
		for i, li := range list {
			ch.checkFree(li, list[:i])
		}
	}
}

// overlap reports whether one socket would take packets for both addresses.
// Port 0 is a free port that the system chooses.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkServices adds the faults between services: numbers, names and addresses
// that stand twice, and addresses that the process listens on otherwise.
func (ch *checker) checkServices(services []Service, listens bool) {
	var taken []listener
	if listens {
		taken = append(taken, ch.listeners["udp"]...)
	}
	for i, sv := range services {
		path := fmt.Sprintf("Services[%d]", i)
		for j := range services[:i] {
			ch.checkDistinct(path, sv, fmt.Sprintf("Services[%d]", j), services[j])
		}
		for j, ad := range sv.Addresses {
			li := listener{field: fmt.Sprintf("%s.Addresses[%d]", path, j), address: ad}
			ch.checkFree(li, taken)
			taken = append(taken, li)
		}
	}
}

// checkDistinct adds a fault for what two services may not share.
func (ch *checker) checkDistinct(path string, sv Service, earlierPath string, earlier Service) {
	if sv.ID == earlier.ID && sv.ID != 0 {
		ch.fault(path+".ID", strconv.FormatUint(uint64(sv.ID), 10), "a number other than that of "+earlierPath)
	}
	if sv.Name == earlier.Name && sv.Name != "" {
		ch.fault(path+".Name", strconv.Quote(sv.Name), "a name other than that of "+earlierPath)
	}
}

// checkFree adds a fault if the address can't be taken beside the others.
func (ch *checker) checkFree(li listener, taken []listener) {
	for _, earlier := range taken {
		if li.address.IsValid() && overlap(li.address, earlier.address) {
			ch.fault(li.field, li.address.String(), "an address other than that of "+earlier.field)
		}
	}
}

// checkKeys adds a fault for each key file that can't be used.
func (ch *checker) checkKeys(ks Keys) {
	chain := ch.checkReadable("Keys.Certificate", ks.Certificate)
	key := ch.checkReadable("Keys.Key", ks.Key)
	if chain != nil && key != nil {
		if _, err := tls.X509KeyPair(chain, key); err != nil {
			ch.fault("Keys.Key", strconv.Quote(ks.Key)+" ("+err.Error()+")", "the private key of Keys.Certificate")
		}
	}
	bundle := ch.checkReadable("Keys.Authority", ks.Authority)
	if bundle != nil && !x509.NewCertPool().AppendCertsFromPEM(bundle) {
		ch.fault("Keys.Authority", strconv.Quote(ks.Authority), "a PEM file with certificates")
	}
	secret := ch.checkReadable("Keys.Secret", ks.Secret)
	if secret != nil && len(secret) < minSecretBytes {
		ch.fault("Keys.Secret", fmt.Sprintf("%d bytes", len(secret)), fmt.Sprintf("a file of at least %d bytes", minSecretBytes))
	}
}

// checkReadable returns the content of a file, or nil after adding a fault. An
// empty path is the concern of the need tag.
func (ch *checker) checkReadable(field, path string) []byte {
	if path == "" {
		return nil
	}
	data, err := readBounded(path)
	if err != nil {
		ch.fault(field, err.Error(), "a readable file of at most 1 MiB")
		return nil
	}
	return data
}
