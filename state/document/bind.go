package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// binder fills typed values from a tree and notes every field that does not
// fit. encoding/json stops at the first misfit, drops duplicates and takes
// names of another case; an operator needs to see all at once.
type binder struct{ faults *Faults }

func (b binder) bind(value any, into reflect.Value, path string) {
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		b.bind(value, into.Elem(), path)
	case reflect.Struct:
		b.bindObject(value, into, path)
	case reflect.Slice:
		b.bindList(value, into, path)
	case reflect.String:
		if text, ok := value.(string); ok {
			into.SetString(text)
			return
		}
		b.misfit(path, "a string", value)
	case reflect.Bool:
		if flag, ok := value.(bool); ok {
			into.SetBool(flag)
			return
		}
		b.misfit(path, "true or false", value)
	case reflect.Int:
		b.bindInt(value, into, path)
	case reflect.Float64:
		b.bindFloat(value, into, path)
	default:
		panic(fmt.Sprintf("document: no rule for %s", into.Type()))
	}
}

func (b binder) misfit(path, want string, value any) {
	b.faults.add(path, "must be %s, is %s", want, kindOf(value))
}

func (b binder) bindObject(value any, into reflect.Value, path string) {
	members, ok := value.(object)
	if !ok {
		b.misfit(path, "an object", value)
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for _, m := range members {
		at := join(path, m.name)
		index, known := fields[m.name]
		switch {
		case seen[m.name]:
			b.faults.add(at, "the field appears twice")
		case !known:
			b.faults.add(at, "unknown field")
		default:
			b.bind(m.value, into.Field(index), at)
		}
		seen[m.name] = true
	}
}

func (b binder) bindList(value any, into reflect.Value, path string) {
	list, ok := value.([]any)
	if !ok {
		b.misfit(path, "a list", value)
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
	for i, element := range list {
		b.bind(element, into.Index(i), at(path, i))
	}
}

func (b binder) bindInt(value any, into reflect.Value, path string) {
	number, ok := value.(json.Number)
	if !ok {
		b.misfit(path, "a whole number", value)
		return
	}
	n, err := number.Int64()
	if err != nil {
		b.faults.add(path, "must be a whole number, is %s", number)
		return
	}
	into.SetInt(n)
}

func (b binder) bindFloat(value any, into reflect.Value, path string) {
	number, ok := value.(json.Number)
	if !ok {
		b.misfit(path, "a number", value)
		return
	}
	f, err := number.Float64()
	if err != nil {
		b.faults.add(path, "%s is out of range", number)
		return
	}
	into.SetFloat(f)
}

// fieldsOf maps the JSON names of a struct to its fields.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func at(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}
