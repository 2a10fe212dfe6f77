package scatterer

import (
	"cmp"
	"math"
	"slices"
)

// enough reports whether a fast answer has reached its minimum.
func (g *gather) enough() bool {
	if !g.fast {
		return false
	}
	covered, total := 0, 0
	for _, p := range g.parts {
		n := max(len(g.s.book.Partitions(p.service, g.generation)), 1)
		total += n
		if p.reply != nil {
			covered += len(p.reply.Partitions)
		}
	}
	return covered >= int(math.Ceil(g.minimum*float64(total)))
}

// generationGone reports whether a part failed because its generation is not held any more.
func (g *gather) generationGone() bool {
	return slices.ContainsFunc(g.parts, func(p *part) bool { return p.reply == nil && p.reason == "no-generation" })
}

func (g *gather) answer() Answer {
	a := Answer{Generation: g.generation, Hedges: g.hedges, Retries: g.retries, Moves: g.moves}
	for _, p := range g.parts {
		g.account(&a, p)
	}
	slices.SortFunc(a.Covered, compareParts)
	slices.SortFunc(a.Uncovered, func(x, y UncoveredPartition) int { return compareParts(x.PartitionRef, y.PartitionRef) })
	total := len(a.Covered) + len(a.Uncovered)
	a.MinimumReached = float64(len(a.Covered)) >= g.minimum*float64(total)
	return a
}

// account adds what p covers and what it leaves out.
func (g *gather) account(a *Answer, p *part) {
	table := g.s.book.Partitions(p.service, g.generation)
	if len(table) == 0 {
		table = []string{"*"}
	}
	var got []string
	if p.reply != nil {
		got = p.reply.Partitions
		a.Results = append(a.Results, p.reply.Results...)
		p.reason = cmp.Or(p.reason, "not-in-reply")
	}
	for _, name := range got {
		a.Covered = append(a.Covered, PartitionRef{p.service, name})
	}
	for _, name := range table {
		if slices.Contains(got, name) || (name == "*" && len(got) > 0) {
			continue
		}
		a.Uncovered = append(a.Uncovered, UncoveredPartition{PartitionRef{p.service, name}, p.reason})
	}
}

func compareParts(a, b PartitionRef) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.Partition, b.Partition)
}
