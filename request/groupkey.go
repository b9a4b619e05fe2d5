package request

import "encoding/binary"

// groupKey identifies a list of services. No two lists have the same key: each name is preceded by its length, since a name may
// hold any character.
type groupKey string

// appendGroupKey appends the groupKey of a list of services.
func appendGroupKey(key []byte, services []string) []byte {
	for _, service := range services {
		key = binary.AppendUvarint(key, uint64(len(service)))
		key = append(key, service...)
	}
	return key
}
