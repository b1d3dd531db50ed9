// Package pick filters commands by type in tests.
package pick

// OfType returns the commands of type T in their original order.
func OfType[T, C any](cmds []C) []T {
	var found []T
	for _, cmd := range cmds {
		if match, ok := any(cmd).(T); ok {
			found = append(found, match)
		}
	}
	return found
}
