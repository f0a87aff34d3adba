package archive

import (
	"strconv"
	"strings"
)

// maxEraSteps bounds how often one call is begun anew because the store's era changed
// or another process made the present era's object meanwhile.
const maxEraSteps = 8

// eraShift is the number of bits that a version of the store may use; the bits above
// hold the era in the versions that Eras hands out.
const eraShift = 44

// Eras makes conditional writes of one object safe across restores of the store. The
// store gives out the same versions again after a restore, so a write that was sent
// before may meet its condition on other content. Therefore the object has a name of
// its own in each era, and only the present era's is written: a write of an earlier
// era reaches an object that nobody reads any more. The first process that reads the
// object in a new era copies it from the newest earlier one.
//
// The versions that are handed out hold the era, so that versions of different eras
// differ. All calls of other objects pass unchanged, but a later era in their answers
// counts too: a write of the object that was prepared in an earlier era is not sent
// any more. Eras is not safe for concurrent use.
type Eras struct {
	name string
	// present is the era of the last answer, 1 before the first.
	present uint64
}

// NewEras returns the eras of the named object. The era of the last answer is zero if
// there was none.
func NewEras(name string, present uint64) *Eras {
	return &Eras{name: name, present: max(present, 1)}
}

// Present returns the era of the last answer, 1 before the first.
func (er *Eras) Present() uint64 { return er.present }

// Perform makes the call by means of the function do, which makes one call to the
// store, and returns its answer. A write whose answer shows that it reached the object
// of an earlier era is answered with ResultUnanswered.
func (er *Eras) Perform(ca Call, do func(Call) Answer) Answer {
	if ca.Name != er.name {
		an := do(ca)
		er.present = max(er.present, an.Object.Era)
		return an
	}
	switch ca.Kind {
	case KindPut, KindDelete:
		return er.write(ca, do)
	case KindWatch:
		return er.watch(ca, do)
	default:
		return er.read(ca, do)
	}
}

// nameIn returns the object's name in an era; it is the plain name in the first.
func (er *Eras) nameIn(era uint64) string {
	if era <= 1 {
		return er.name
	}
	return er.name + "@" + strconv.FormatUint(era, 10)
}

// eraOf returns the era that a name of the object belongs to, zero if it is another
// object's name.
func (er *Eras) eraOf(name string) uint64 {
	if name == er.name {
		return 1
	}
	text, ok := strings.CutPrefix(name, er.name+"@")
	if !ok {
		return 0
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// changed notes the era of an answer. It reports whether it is another one than before.
func (er *Eras) changed(before uint64, an Answer) bool {
	era := max(an.Object.Era, 1)
	if an.Object.Era == 0 || era == before {
		return false
	}
	er.present = era
	return true
}

// outward returns the answer as the submitter of the call expects it.
func (er *Eras) outward(ca Call, era uint64, an Answer) Answer {
	an.ID = ca.ID
	an.Object.Name = ca.Name
	if an.Object.Version != 0 && era > 1 {
		an.Object.Version |= era << eraShift
	}
	return an
}

// inward returns the call with the store's own name and version.
func (er *Eras) inward(ca Call, era uint64) Call {
	ca.Name = er.nameIn(era)
	ca.Version &= 1<<eraShift - 1
	return ca
}

func (er *Eras) write(ca Call, do func(Call) Answer) Answer {
	era := er.present
	if ca.Version != 0 && max(ca.Version>>eraShift, 1) != era {
		return Answer{ID: ca.ID, Result: ResultConflict, Object: Object{Name: ca.Name}}
	}
	an := do(er.inward(ca, era))
	if er.changed(era, an) && an.Result == ResultDone {
		an.Result = ResultUnanswered
	}
	return er.outward(ca, era, an)
}

func (er *Eras) watch(ca Call, do func(Call) Answer) Answer {
	era := er.present
	if max(ca.Version>>eraShift, 1) == era {
		an := do(er.inward(ca, era))
		if !er.changed(era, an) && an.Result != ResultNotFound {
			return er.outward(ca, era, an)
		}
	}
	ca.Kind = KindGet
	return er.read(ca, do)
}

func (er *Eras) read(ca Call, do func(Call) Answer) Answer {
	for range maxEraSteps {
		era := er.present
		an := do(er.inward(ca, era))
		if er.changed(era, an) {
			continue
		}
		if an.Result != ResultNotFound || era == 1 {
			return er.outward(ca, era, an)
		}
		if an = er.carryOver(ca, era, do); an.Result != ResultDone {
			return er.outward(ca, era, an)
		}
	}
	return Answer{ID: ca.ID, Result: ResultUnanswered, Object: Object{Name: ca.Name}}
}

// carryOver copies the object of the newest earlier era to the present one. The answer
// is ResultDone if the object is to be read again, and ResultNotFound if no era has it.
func (er *Eras) carryOver(ca Call, era uint64, do func(Call) Answer) Answer {
	listed := do(Call{ID: ca.ID, Kind: KindList, Object: Object{Name: er.name}})
	if listed.Result != ResultDone {
		return listed
	}
	var newest uint64
	for _, ob := range listed.Objects {
		if found := er.eraOf(ob.Name); found < era {
			newest = max(newest, found)
		}
	}
	if newest == 0 {
		listed.Result = ResultNotFound
		return listed
	}
	old := do(er.inward(ca, newest))
	if old.Result != ResultDone {
		return old
	}
	created := do(Call{ID: ca.ID, Kind: KindPut, Object: Object{Name: er.nameIn(era), Value: old.Object.Value}})
	if created.Result == ResultConflict {
		// Another process copied it first.
		created.Result = ResultDone
	}
	return created
}
