package limiter_test

import (
	"fmt"
	"time"

	"github.com/ebonylock/ebonylock/modules/limiter"
)

func Example() {
	l := limiter.Limiter[string]{Slots: 2, RepliesPerSlot: 1}
	now := time.Unix(0, 0)
	for _, job := range []string{"first", "second"} {
		if _, err := l.Enqueue(now, now.Add(time.Second), false, job); err != nil {
			fmt.Println(job, err)
		}
	}
	it, _, _ := l.Next(now)
	fmt.Println("run", it.Value)
	_, _, more := l.Next(now)
	fmt.Println("room for another:", more) // a cold server gets one at a time

	l.Observe(now, limiter.Done, 5*time.Millisecond)
	l.Release()
	it, _, _ = l.Next(now)
	fmt.Println("run", it.Value, "with limit", l.Limit(now))
	// Output:
	// run first
	// room for another: false
	// run second with limit 2
}
