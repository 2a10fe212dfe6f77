package configurer

import "strconv"

func formatRevision(n uint64) string {
	return strconv.FormatUint(n, 10)
}
