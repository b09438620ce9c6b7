package settings

import (
	"reflect"
	"slices"
	"strings"
	"time"
)

// Key is one key of the settings file.
type Key struct {
	// Path is the key with its parents, such as limits.bodyBytes.
	Path string
	Kind Kind
}

// Kind is the type of a key's value.
type Kind string

// Kinds of values, as shown in error messages.
const (
	KindText     Kind = "text"
	KindNumber   Kind = "a whole number"
	KindBool     Kind = "true or false"
	KindDuration Kind = "a duration with its unit, such as 30s"
	KindMapping  Kind = "a mapping"
)

// Keys returns all keys in the order of the fields of Settings.
func Keys() []Key {
	return keysOf(reflect.TypeFor[Settings](), "")
}

func keysOf(structType reflect.Type, prefix string) []Key {
	var keys []Key
	for field := range structType.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		key := Key{Path: prefix + name, Kind: kindOf(field.Type)}
		keys = append(keys, key)
		if key.Kind == KindMapping {
			keys = append(keys, keysOf(field.Type, key.Path+".")...)
		}
	}
	return keys
}

func kindOf(fieldType reflect.Type) Kind {
	if fieldType == reflect.TypeFor[time.Duration]() {
		return KindDuration
	}
	switch fieldType.Kind() {
	case reflect.String:
		return KindText
	case reflect.Bool:
		return KindBool
	case reflect.Int, reflect.Int64:
		return KindNumber
	case reflect.Struct:
		return KindMapping
	}
	panic("settings: unsupported field type " + fieldType.String() + " in Settings")
}

func findKey(path string) (Key, bool) {
	keys := Keys()
	i := slices.IndexFunc(keys, func(k Key) bool { return k.Path == path })
	if i < 0 {
		return Key{}, false
	}
	return keys[i], true
}

// childNames returns the comma-separated names of the keys directly below parent.
func childNames(parent string) string {
	prefix := parent
	if prefix != "" {
		prefix += "."
	}
	var names []string
	for _, key := range Keys() {
		if name, ok := strings.CutPrefix(key.Path, prefix); ok && !strings.Contains(name, ".") {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}
