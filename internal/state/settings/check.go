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

// minSecretBytes is the minimum length of the deployment's secret in bytes.
const minSecretBytes = 16

// listenAddress is an address that the process would listen on, with the path of
// the field that sets it.
type listenAddress struct {
	field   string
	address netip.AddrPort
}

// checker checks the decoded values of a document and adds the faults found to
// it.
type checker struct {
	*document
	// listeners are the listening addresses of each protocol, "udp" or "tcp".
	listeners map[string][]listenAddress
}

// checkRole adds the faults that the role's own check finds, such as those that
// concern several fields.
func (ch *checker) checkRole(loaded any) {
	switch st := loaded.(type) {
	case *Balancer:
		st.check(ch)
	case *Agent:
		st.check(ch)
	case *Console:
		st.check(ch)
	case *CarrierBalancer:
		st.check(ch)
	case *CarrierAgent:
		st.check(ch)
	}
}

// checkTags adds the faults of a struct's or list's values that violate the tags
// of their fields, and collects the listening addresses.
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

// checkField checks one field of a struct. A field that already has a fault is
// skipped.
func (ch *checker) checkField(fi reflect.StructField, va reflect.Value, parent string) {
	if !fi.IsExported() {
		return
	}
	if fi.Anonymous {
		ch.checkTags(va, parent)
		return
	}
	path := joinPath(parent, fi.Name)
	if ch.hasFault(path) {
		return
	}
	if fi.Tag.Get("need") != "" && (va.IsZero() || va.Kind() == reflect.Slice && va.Len() == 0) {
		ch.addFault(path, "nothing", "a value, as it has no default")
		return
	}
	ch.checkBounds(fi.Tag, va, path)
	address, isAddress := va.Interface().(netip.AddrPort)
	if protocol := fi.Tag.Get("listen"); protocol != "" && isAddress && address.IsValid() {
		ch.listeners[protocol] = append(ch.listeners[protocol], listenAddress{field: path, address: address})
	}
	if fi.Tag.Get("announce") != "" && (address.Addr().IsUnspecified() || address.Port() == 0) {
		ch.addFault(path, address.String(), "an address and port at which other processes reach this one")
	}
	if !isAddress {
		ch.checkTags(va, path)
	}
}

// checkBounds adds a fault if a number or duration is outside the bounds of its
// tags.
func (ch *checker) checkBounds(tag reflect.StructTag, va reflect.Value, field string) {
	minText, maxText := tag.Get("min"), tag.Get("max")
	if minText == "" || maxText == "" {
		return
	}
	if du, ok := va.Interface().(Duration); ok {
		low, _ := time.ParseDuration(minText)
		high, _ := time.ParseDuration(maxText)
		if time.Duration(du) < low || time.Duration(du) > high {
			ch.addFault(field, time.Duration(du).String(), fmt.Sprintf("from %s to %s", minText, maxText))
		}
		return
	}
	low, _ := strconv.ParseInt(minText, 10, 64)
	high, _ := strconv.ParseInt(maxText, 10, 64)
	number := int64(0)
	if va.CanInt() {
		number = va.Int()
	} else if va.CanUint() {
		number = int64(va.Uint())
	}
	if number < low || number > high {
		ch.addFault(field, strconv.FormatInt(number, 10), fmt.Sprintf("from %s to %s", minText, maxText))
	}
}

// checkListeners adds a fault for each pair of addresses of one protocol that the
// process can't both listen on.
func (ch *checker) checkListeners() {
	for _, list := range ch.listeners {
		for i, li := range list {
			ch.checkAddressFree(li, list[:i])
		}
	}
}

// conflicts reports whether two sockets can't listen on the two addresses, because
// the ports are equal and the IP addresses are equal or one is unspecified. Port 0
// never conflicts: the system chooses a free port for it.
func conflicts(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkServices adds the faults between services: numbers, names and addresses
// that two of them share. With listens, the process listens on the services'
// addresses, which then must not conflict with its other UDP addresses.
func (ch *checker) checkServices(services []Service, listens bool) {
	var taken []listenAddress
	if listens {
		taken = append(taken, ch.listeners["udp"]...)
	}
	for i, sv := range services {
		path := fmt.Sprintf("Services[%d]", i)
		for j := range services[:i] {
			ch.checkDistinct(path, sv, fmt.Sprintf("Services[%d]", j), services[j])
		}
		for j, ad := range sv.Addresses {
			li := listenAddress{field: fmt.Sprintf("%s.Addresses[%d]", path, j), address: ad}
			ch.checkAddressFree(li, taken)
			taken = append(taken, li)
		}
	}
}

// checkDistinct adds a fault if the service has the number or the name of an
// earlier one.
func (ch *checker) checkDistinct(path string, sv Service, earlierPath string, earlier Service) {
	if sv.ID == earlier.ID && sv.ID != 0 {
		ch.addFault(path+".ID", strconv.FormatUint(uint64(sv.ID), 10), "a number other than that of "+earlierPath)
	}
	if sv.Name == earlier.Name && sv.Name != "" {
		ch.addFault(path+".Name", strconv.Quote(sv.Name), "a name other than that of "+earlierPath)
	}
}

// checkAddressFree adds a fault for each of the taken addresses with which the
// address conflicts.
func (ch *checker) checkAddressFree(li listenAddress, taken []listenAddress) {
	for _, earlier := range taken {
		if li.address.IsValid() && conflicts(li.address, earlier.address) {
			ch.addFault(li.field, li.address.String(), "an address other than that of "+earlier.field)
		}
	}
}

// checkKeys adds a fault for each key file that can't be read or isn't valid.
func (ch *checker) checkKeys(ks Keys) {
	chain := ch.checkReadable("Keys.Certificate", ks.Certificate)
	key := ch.checkReadable("Keys.Key", ks.Key)
	if chain != nil && key != nil {
		if _, err := tls.X509KeyPair(chain, key); err != nil {
			ch.addFault("Keys.Key", strconv.Quote(ks.Key)+" ("+err.Error()+")", "the private key of Keys.Certificate")
		}
	}
	bundle := ch.checkReadable("Keys.Authority", ks.Authority)
	if bundle != nil && !x509.NewCertPool().AppendCertsFromPEM(bundle) {
		ch.addFault("Keys.Authority", strconv.Quote(ks.Authority), "a PEM file with certificates")
	}
	secret := ch.checkReadable("Keys.Secret", ks.Secret)
	if secret != nil && len(secret) < minSecretBytes {
		ch.addFault("Keys.Secret", fmt.Sprintf("%d bytes", len(secret)), fmt.Sprintf("a file of at least %d bytes", minSecretBytes))
	}
}

// checkReadable returns the content of a file. If the file can't be read, it adds
// a fault and returns nil. It returns nil for an empty path too, without a fault: a
// missing path is found by the need tag or by the check of the role.
func (ch *checker) checkReadable(field, path string) []byte {
	if path == "" {
		return nil
	}
	data, err := readBounded(path)
	if err != nil {
		ch.addFault(field, err.Error(), "a readable file of at most 1 MiB")
		return nil
	}
	return data
}
