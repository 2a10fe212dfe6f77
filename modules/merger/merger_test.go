package merger

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func record(b byte) []byte {
	return bytes.Repeat([]byte{b}, RecordSize)
}

func TestTop(t *testing.T) {
	join := func(bs ...byte) []byte {
		var out []byte
		for _, b := range bs {
			out = append(out, record(b)...)
		}
		return out
	}
	for _, tc := range []struct {
		name  string
		parts [][]byte
		n     int
		want  []byte
	}{
		{"no parts", nil, 3, nil},
		{"fewer records than n", [][]byte{join(1)}, 3, join(1)},
		{"descending order", [][]byte{join(1, 9), join(5)}, 2, join(9, 5)},
		{"duplicates are kept", [][]byte{join(7, 7), join(7)}, 2, join(7, 7)},
		{"bytes compare as unsigned", [][]byte{join(0x7f), join(0x80)}, 1, join(0x80)},
		{"incomplete record is ignored", [][]byte{append(join(1), 9, 9, 9)}, 3, join(1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(bytes.Equal(Top(tc.parts, tc.n), tc.want))
		})
	}
}

// TestTopOfAnyNumber guards against a process that ends because a route asks for fewer than no records,
// or for more than fit into memory.
func TestTopOfAnyNumber(t *testing.T) {
	parts := [][]byte{record(1), record(2)}
	for n, want := range map[int][]byte{math.MaxInt: append(record(2), record(1)...), math.MinInt: nil, -1: nil, 0: nil} {
		if got := Top(parts, n); !bytes.Equal(got, want) {
			t.Errorf("%d: got %v", n, got)
		}
	}
}

func TestTopIsSortedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 80), 0, 6).Draw(t, "parts")
		n := rapid.IntRange(0, 12).Draw(t, "n")
		var all []string
		for _, p := range parts {
			for c := range slices.Chunk(p, RecordSize) {
				if len(c) == RecordSize {
					all = append(all, string(c))
				}
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		want := ""
		for _, r := range all[:min(n, len(all))] {
			want += r
		}
		if got := string(Top(parts, n)); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
