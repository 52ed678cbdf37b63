package router

import "strconv"

const hexadecimal = 16

func formatPrefix(prefix uint64) string {
	return strconv.FormatUint(prefix, hexadecimal)
}
