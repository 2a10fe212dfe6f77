package stepper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStep(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, d := range []time.Duration{time.Hour, -time.Hour} {
		s := Step(now, d)
		is.Equal(s.Sub(now), time.Duration(0))
		is.Equal(s.Unix(), now.Unix()+int64(d.Seconds()))
	}
}
