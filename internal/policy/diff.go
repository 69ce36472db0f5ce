package policy

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Absent is the old or new value in a Difference if that document does not contain the entry.
const Absent = "absent"

// Difference is a field or list entry that differs between two documents.
type Difference struct {
	// Path is the path of the field, for example services[catalogue].ranks.deferrable.limit.
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	return d.Path + ": " + d.Old + " → " + d.New
}

// Diff lists the fields that differ between two documents. A nil document counts as an empty one. List entries are
// matched by id, name, prefix or pair of regions. Routes are matched by position, because the first matching route
// applies. An added or removed entry is one Difference. A different order of other entries is not a Difference.
func Diff(previous, next *Document) []Difference {
	if previous == nil {
		previous = &Document{}
	}
	if next == nil {
		next = &Document{}
	}
	var c diffCollector
	c.compare("", reflect.ValueOf(previous).Elem(), reflect.ValueOf(next).Elem())
	return c.differences
}

type diffCollector struct {
	differences []Difference
}

func (c *diffCollector) add(path, before, after string) {
	c.differences = append(c.differences, Difference{Path: path, Old: before, New: after})
}

func (c *diffCollector) compare(path string, a, b reflect.Value) {
	switch {
	case isTextMarshaler(a.Type()):
		c.compareText(path, a, b)
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			c.compare(joinPath(path, fieldName(a.Type().Field(i))), a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		c.compareEntries(path, a, b)
	default:
		c.compareText(path, a, b)
	}
}

func (c *diffCollector) compareText(path string, a, b reflect.Value) {
	if before, after := formatValue(a), formatValue(b); before != after {
		c.add(path, before, after)
	}
}

// compareEntries matches the entries of two lists by key. It reports the entries of the first list in their order, then
// those that only the second list contains.
func (c *diffCollector) compareEntries(path string, a, b reflect.Value) {
	if equalBlocks(a, b) {
		return
	}
	positions := make(map[string]int, b.Len())
	for i := range b.Len() {
		positions[entryKey(b, i)] = i
	}
	inFirst := make(map[string]bool, a.Len())
	for i := range a.Len() {
		k := entryKey(a, i)
		inFirst[k] = true
		entryPath := path + "[" + k + "]"
		if j, ok := positions[k]; ok {
			c.compare(entryPath, a.Index(i), b.Index(j))
		} else {
			c.add(entryPath, formatValue(a.Index(i)), Absent)
		}
	}
	for i := range b.Len() {
		if k := entryKey(b, i); !inFirst[k] {
			c.add(path+"["+k+"]", Absent, formatValue(b.Index(i)))
		}
	}
}

// equalBlocks reports whether both values are lists of blocks with equal entries in the same order. This check avoids
// matching 160,000 blocks by prefix, which takes about a second, in the common case that a change leaves them unmodified.
func equalBlocks(a, b reflect.Value) bool {
	x, ok := a.Interface().([]Block)
	if !ok {
		return false
	}
	y := b.Interface().([]Block)
	return slices.EqualFunc(x, y, func(x, y Block) bool {
		return x.Prefix == y.Prefix && slices.Equal(x.Sites, y.Sites)
	})
}

// entryKey returns the key that identifies entry i of a list, or its position if the entry has no key field.
func entryKey(list reflect.Value, i int) string {
	switch entry := list.Index(i).Interface().(type) {
	case Distance:
		return min(entry.A, entry.B) + " " + max(entry.A, entry.B)
	case Block:
		return entry.Prefix.String()
	}
	for _, name := range []string{"ID", "Name"} {
		if field := list.Index(i).FieldByName(name); field.IsValid() {
			return field.String()
		}
	}
	return fmt.Sprint(i)
}

var textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()

func isTextMarshaler(t reflect.Type) bool { return t.Implements(textMarshaler) }

// formatValue formats a value on one line. Of a struct it includes only the fields that are not zero.
func formatValue(v reflect.Value) string {
	switch {
	case isTextMarshaler(v.Type()):
		text, _ := v.Interface().(encoding.TextMarshaler).MarshalText()
		return string(text)
	case v.Kind() == reflect.Struct:
		return formatStruct(v)
	case v.Kind() == reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = formatValue(v.Index(i))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case v.Kind() == reflect.String:
		return fmt.Sprintf("%q", v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

func formatStruct(v reflect.Value) string {
	var fields []string
	for i := range v.NumField() {
		if !v.Field(i).IsZero() {
			fields = append(fields, fieldName(v.Type().Field(i))+"="+formatValue(v.Field(i)))
		}
	}
	return "{" + strings.Join(fields, " ") + "}"
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
