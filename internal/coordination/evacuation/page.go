package evacuation

// bytesInPage bounds the names in one page, with one byte for the length of each, so
// that a page fits into a datagram.
const bytesInPage = 1000

// MaxPages is the greatest number of pages of a set.
const MaxPages = 16

// Page is a part of a set as one message carries it: page Index, from zero, of Count.
type Page struct {
	Origin       Origin
	Index, Count uint8
	Domains      []string
}

// Pages returns the set in pages, at least one.
func (se Set) Pages() []Page {
	list := []Page{{Origin: se.Origin}}
	size := 0
	for _, name := range se.Domains {
		if size += 1 + len(name); size > bytesInPage {
			list = append(list, Page{Origin: se.Origin, Index: uint8(len(list))})
			size = 1 + len(name)
		}
		last := &list[len(list)-1]
		last.Domains = append(last.Domains, name)
	}
	for i := range list {
		list[i].Count = uint8(len(list))
	}
	return list
}

// assembly collects the pages of one set.
type assembly struct {
	origin  Origin
	pages   []*Page
	missing int
}

// add adds a page and reports whether the set is complete. Pages of an older set than
// the one being collected are ignored.
func (as *assembly) add(pa Page) (Set, bool) {
	if pa.Index >= pa.Count || pa.Count > MaxPages || len(as.pages) > 0 && pa.Origin.Compare(as.origin) < 0 {
		return Set{}, false
	}
	if pa.Origin != as.origin || len(as.pages) != int(pa.Count) {
		*as = assembly{origin: pa.Origin, pages: make([]*Page, pa.Count), missing: int(pa.Count)}
	}
	if as.pages[pa.Index] == nil {
		as.pages[pa.Index] = &pa
		as.missing--
	}
	if as.missing > 0 {
		return Set{}, false
	}
	var names []string
	for _, it := range as.pages {
		names = append(names, it.Domains...)
	}
	*as = assembly{}
	set, refused := NewSet(pa.Origin, names)
	return set, len(refused) == 0
}
