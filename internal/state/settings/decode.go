package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxShownBytes is the largest part of a value, in bytes, that a fault shows.
const maxShownBytes = 40

// decode stores a value of the file in the field and adds a fault for each part
// of it that doesn't fit the field's type.
func (do *document) decode(va hujson.Value, into reflect.Value, field string) {
	do.offsets[field] = va.StartOffset
	if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		do.decodeText(va, text, field)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		do.decodeStruct(va, into, field)
	case reflect.Slice:
		do.decodeSlice(va, into, field)
	case reflect.String:
		do.decodeString(va, into, field)
	case reflect.Bool:
		do.decodeBool(va, into, field)
	default:
		do.decodeNumber(va, into, field)
	}
}

// decodeStruct stores an object in a struct. Unknown and repeated fields are
// faults.
func (do *document) decodeStruct(va hujson.Value, into reflect.Value, field string) {
	object, ok := va.Value.(*hujson.Object)
	if !ok {
		do.addValueFault(va, field, "an object")
		return
	}
	seen := make(map[string]bool)
	for _, me := range object.Members {
		name := me.Name.Value.(hujson.Literal).String()
		target := into.FieldByName(name)
		path := joinPath(field, name)
		switch {
		case !target.IsValid() || !target.CanSet() || isEmbedded(into.Type(), name):
			do.addFaultAt(me.Name.StartOffset, path, "an unknown field", suggestField(name, into.Type()))
		case seen[name]:
			do.addFaultAt(me.Name.StartOffset, path, "the field a second time", "each field once")
		default:
			do.decode(me.Value, target, path)
		}
		seen[name] = true
	}
}

func (do *document) decodeSlice(va hujson.Value, into reflect.Value, field string) {
	array, ok := va.Value.(*hujson.Array)
	if !ok {
		do.addValueFault(va, field, "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, el := range array.Elements {
		do.decode(el, list.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
	into.Set(list)
}

// decodeText parses an address or a duration. The empty string leaves an address
// unset.
func (do *document) decodeText(va hujson.Value, into encoding.TextUnmarshaler, field string) {
	want := expectedFormat(into)
	literal, ok := va.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		do.addValueFault(va, field, want)
		return
	}
	if err := into.UnmarshalText([]byte(literal.String())); err != nil {
		do.addValueFault(va, field, want)
	}
}

func (do *document) decodeString(va hujson.Value, into reflect.Value, field string) {
	literal, ok := va.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		do.addValueFault(va, field, "a string")
		return
	}
	into.SetString(literal.String())
}

func (do *document) decodeBool(va hujson.Value, into reflect.Value, field string) {
	literal, ok := va.Value.(hujson.Literal)
	if !ok || literal.Kind() != 't' && literal.Kind() != 'f' {
		do.addValueFault(va, field, "true or false")
		return
	}
	into.SetBool(literal.Bool())
}

func (do *document) decodeNumber(va hujson.Value, into reflect.Value, field string) {
	literal, ok := va.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		do.addValueFault(va, field, "a number")
		return
	}
	var err error
	switch {
	case into.CanInt():
		var number int64
		number, err = strconv.ParseInt(string(literal), 10, into.Type().Bits())
		into.SetInt(number)
	case into.CanUint():
		var number uint64
		number, err = strconv.ParseUint(string(literal), 10, into.Type().Bits())
		into.SetUint(number)
	case into.CanFloat():
		var number float64
		number, err = strconv.ParseFloat(string(literal), into.Type().Bits())
		into.SetFloat(number)
	}
	if err != nil {
		do.addValueFault(va, field, "a whole number of "+strconv.Itoa(into.Type().Bits())+" bits")
	}
}

// addValueFault adds a fault that shows the value as the one found. Lists and
// objects are shown by kind only, long values shortened.
func (do *document) addValueFault(va hujson.Value, field, want string) {
	shown := "an object"
	switch va.Value.Kind() {
	case '[':
		shown = "a list"
	case '{':
	default:
		shown = string(va.Value.(hujson.Literal))
		if len(shown) > maxShownBytes {
			shown = strings.ToValidUTF8(shown[:maxShownBytes], "") + "..."
		}
	}
	do.addFaultAt(va.StartOffset, field, shown, want)
}

// isEmbedded reports whether the name is that of an embedded struct. The fields of
// such a struct are written in the outer object, so its name is no field.
func isEmbedded(ty reflect.Type, name string) bool {
	fi, ok := ty.FieldByName(name)
	return ok && fi.Anonymous
}

// expectedFormat describes the text that the field takes.
func expectedFormat(into encoding.TextUnmarshaler) string {
	if _, ok := into.(*Duration); ok {
		return `a duration such as "30s"`
	}
	return `an address and port such as "192.0.2.1:4433"`
}

// suggestField returns the field whose name differs from the unknown one in case
// only, or a list of all fields.
func suggestField(name string, ty reflect.Type) string {
	var names []string
	for _, fi := range reflect.VisibleFields(ty) {
		if fi.Anonymous {
			continue
		}
		if strings.EqualFold(fi.Name, name) {
			return fi.Name
		}
		names = append(names, fi.Name)
	}
	return "one of " + strings.Join(names, ", ")
}
