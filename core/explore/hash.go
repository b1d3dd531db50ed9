package explore

import (
	"bytes"
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hash returns a hash of all that a value consists of or points to, also of unexported fields.
// Functions don't count. What several pointers point to counts once, and times count in
// milliseconds.
func hash(v reflect.Value) uint64 {
	d := digest{visited: map[uintptr]int{}}
	d.add(v)
	return xxhash.Sum64(d.buf)
}

// digest is the encoding of a value.
type digest struct {
	buf     []byte
	visited map[uintptr]int // ordinals of pointers
}

func (d *digest) uint(n uint64) { d.buf = binary.LittleEndian.AppendUint64(d.buf, n) }

func (d *digest) string(s string) {
	d.uint(uint64(len(s)))
	d.buf = append(d.buf, s...)
}

func (d *digest) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		n := uint64(0)
		if v.Bool() {
			n = 1
		}
		d.uint(n)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.uint(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		d.uint(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.uint(math.Float64bits(v.Float()))
	case reflect.String:
		d.string(v.String())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			d.uint(v.Field(0).Uint() / 1e6)
			d.uint(uint64(v.Field(1).Int()))
			return
		}
		for i := range v.NumField() {
			d.add(v.Field(i))
		}
	case reflect.Array, reflect.Slice:
		d.uint(uint64(v.Len()))
		for i := range v.Len() {
			d.add(v.Index(i))
		}
	case reflect.Map:
		d.addMap(v)
	case reflect.Interface:
		if v.IsNil() {
			d.uint(0)
			return
		}
		d.string(v.Elem().Type().String())
		d.add(v.Elem())
	case reflect.Pointer:
		d.addPointer(v)
	case reflect.Func:
	default:
		panic("explore: no hash of a " + v.Kind().String())
	}
}

func (d *digest) addPointer(v reflect.Value) {
	if v.IsNil() {
		d.uint(0)
		return
	}
	ordinal, ok := d.visited[v.Pointer()]
	if !ok {
		ordinal = len(d.visited) + 1
		d.visited[v.Pointer()] = ordinal
	}
	d.uint(uint64(ordinal))
	if !ok {
		d.add(v.Elem())
	}
}

// addMap adds the entries in the order of their encoded keys.
func (d *digest) addMap(v reflect.Value) {
	d.uint(uint64(v.Len()))
	type entry struct {
		key   []byte
		value reflect.Value
	}
	var entries []entry
	for iter := v.MapRange(); iter.Next(); {
		key := digest{visited: d.visited}
		key.add(iter.Key())
		entries = append(entries, entry{
			key:   key.buf,
			value: iter.Value(),
		})
	}
	slices.SortFunc(entries, func(a, b entry) int { return bytes.Compare(a.key, b.key) })
	for _, e := range entries {
		d.buf = append(d.buf, e.key...)
		d.add(e.value)
	}
}
