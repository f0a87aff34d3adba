package members

import (
	"bytes"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxPages bounds the pages of a configuration, which is one object of the store
	// of about 1 MiB at most.
	maxPages = 1 << 20 / bytesInPage
	// maxAssemblies is the number of senders whose pages are collected at once: the
	// balancers that watch the store in the process's own failure domain, and as many
	// others that answer its greetings.
	maxAssemblies = 2 * watchersPerDomain
	// pageRetry is how long after the last page a sender is asked for the missing ones.
	// It is several round trips.
	pageRetry = 200 * time.Millisecond
	// maxPageRetries is how often a sender is asked. After that its next greeting has the
	// same effect.
	maxPageRetries = 5
)

// assembly collects the pages of a configuration from one sender. Pages of several
// senders don't fit together: the encodings of one version differ where processes
// remember other former services.
type assembly struct {
	from    netip.AddrPort
	version uint64
	pages   [][]byte
	missing int
	retryAt time.Time
	retries int
}

// add stores a page and reports whether all are there.
func (as *assembly) add(now time.Time, pa *Page) bool {
	if as.pages[pa.Index] == nil {
		as.pages[pa.Index] = pa.Data
		as.missing--
	}
	as.retryAt = now.Add(pageRetry)
	return as.missing == 0
}

// assemblies are the configurations of which pages are missing, the one that was begun
// first at the front.
type assemblies []*assembly

// of returns the assembly for the sender's page, nil if the page is of an older version
// than those before it. Above maxAssemblies the oldest assembly is dropped.
func (al *assemblies) of(from netip.AddrPort, pa *Page) *assembly {
	at := slices.IndexFunc(*al, func(as *assembly) bool { return as.from == from })
	if at >= 0 {
		as := (*al)[at]
		if pa.Version < as.version {
			return nil
		}
		if pa.Version == as.version && len(as.pages) == int(pa.Count) {
			return as
		}
		*al = slices.Delete(*al, at, at+1)
	}
	if len(*al) == maxAssemblies {
		*al = slices.Delete(*al, 0, 1)
	}
	as := &assembly{from: from, version: pa.Version, pages: make([][]byte, pa.Count), missing: int(pa.Count)}
	*al = append(*al, as)
	return as
}

// dropUpTo drops the assemblies of the version and of older ones.
func (al *assemblies) dropUpTo(version uint64) {
	*al = slices.DeleteFunc(*al, func(as *assembly) bool { return as.version <= version })
}

// drop drops the assembly of the sender.
func (al *assemblies) drop(from netip.AddrPort) {
	*al = slices.DeleteFunc(*al, func(as *assembly) bool { return as.from == from })
}

// due returns when a sender is to be asked next, zero if none is.
func (al *assemblies) due() time.Time {
	first := time.Time{}
	for _, as := range *al {
		if first.IsZero() || as.retryAt.Before(first) {
			first = as.retryAt
		}
	}
	return first
}

// collect stores a page of a configuration, and reports the configuration when all pages
// of one sender are there. Pages of a version that is not newer are ignored, unless the
// view's own configuration is of that version, partial and not the same.
func (vi *View) collect(now time.Time, from netip.AddrPort, pa *Page) {
	isNew := pa.Version > vi.version || vi.partial && pa.Version == vi.version
	if !isNew || pa.Index >= pa.Count || pa.Count > maxPages {
		return
	}
	as := vi.assemblies.of(from, pa)
	if as == nil || !as.add(now, pa) {
		return
	}
	vi.assemblies.drop(from)
	data := slices.Concat(as.pages...)
	if as.version == vi.version && bytes.Equal(data, vi.data) {
		return
	}
	// One that is refused isn't asked for again and again.
	vi.nextRequest = now.Add(GreetInterval)
	vi.actions = append(vi.actions, Action{
		Kind: KindConfiguration, To: from, Data: data, Version: as.version,
	})
}

// retryPages asks the senders whose pages haven't come for pageRetry to send them again.
func (vi *View) retryPages(now time.Time) {
	for _, as := range slices.Clone(vi.assemblies) {
		if now.Before(as.retryAt) {
			continue
		}
		me, ok := vi.members[as.from]
		if !ok || as.retries == maxPageRetries {
			vi.assemblies.drop(as.from)
			continue
		}
		as.retries++
		as.retryAt = now.Add(pageRetry)
		vi.greet(now, me, false)
	}
}
