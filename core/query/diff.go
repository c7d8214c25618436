// Package query computes views of an immutable control state. It never changes the
// state.
package query

import (
	"fmt"
	"reflect"
	"strings"
	"unicode"

	"lacewingturn.example/core/model"
)

// DiffConfig returns the differences from a to b, one line each, in a fixed order.
func DiffConfig(a, b model.Config) []string {
	var out []string
	out = append(out, diffNamed("service", a.Services, b.Services, func(s model.Service) string { return string(s.Name) })...)
	out = append(out, diffNamed("pool", a.Pools, b.Pools, func(p model.Pool) string { return string(p.Name) })...)
	out = append(out, diffNamed("instance", a.Instances, b.Instances, func(i model.InstanceSpec) string { return string(i.ID) })...)
	out = append(out, diffNamed("team", a.Teams, b.Teams, func(t model.Team) string { return string(t.Name) })...)
	out = append(out, diffValue("site", a.Site, b.Site)...)
	out = append(out, diffValue("weights", a.Weights, b.Weights)...)
	out = append(out, diffValue("limits", a.Limits, b.Limits)...)
	return append(out, diffValue("waves", a.Waves, b.Waves)...)
}

func diffNamed[T any](kind string, a, b []T, name func(T) string) []string {
	old := make(map[string]T, len(a))
	for _, v := range a {
		old[name(v)] = v
	}
	var out []string
	kept := make(map[string]bool, len(b))
	for _, v := range b {
		n := name(v)
		kept[n] = true
		before, ok := old[n]
		if !ok {
			out = append(out, fmt.Sprintf("%s %s added", kind, n))
			continue
		}
		out = append(out, diffFields(kind+" "+n, reflect.ValueOf(before), reflect.ValueOf(v))...)
	}
	for _, v := range a {
		if n := name(v); !kept[n] {
			out = append(out, fmt.Sprintf("%s %s removed", kind, n))
		}
	}
	return out
}

func diffValue(name string, a, b any) []string {
	return diffFields(name, reflect.ValueOf(a), reflect.ValueOf(b))
}

// diffFields descends into structs and reports each changed field.
func diffFields(path string, a, b reflect.Value) []string {
	if reflect.DeepEqual(a.Interface(), b.Interface()) {
		return nil
	}
	if a.Kind() != reflect.Struct {
		return []string{fmt.Sprintf("%s: %v -> %v", path, a.Interface(), b.Interface())}
	}
	var out []string
	for i := range a.NumField() {
		out = append(out, diffFields(path+"."+snakeCase(a.Type().Field(i).Name), a.Field(i), b.Field(i))...)
	}
	return out
}

// snakeCase converts a Go field name to the form used in configuration paths:
// MaxStep becomes max_step and MemoryMB becomes memory_mb.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 && !unicode.IsUpper(rune(name[i-1])) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
