package scatterer

import (
	"cmp"
	"math"
	"slices"
)

// reachedMinimum reports whether a fast search has reached its minimum coverage.
func (g *gather) reachedMinimum() bool {
	if !g.fast {
		return false
	}
	covered, total := 0, 0
	for _, sq := range g.subqueries {
		n := max(len(g.scatterer.generations.Partitions(sq.service, g.generation)), 1)
		total += n
		if sq.reply != nil {
			covered += len(sq.reply.Partitions)
		}
	}
	return covered >= int(math.Ceil(g.minimum*float64(total)))
}

// generationGone reports whether a subquery failed because its servers no longer hold the
// generation.
func (g *gather) generationGone() bool {
	return slices.ContainsFunc(g.subqueries, func(sq *subquery) bool { return sq.reply == nil && sq.reason == "no-generation" })
}

func (g *gather) buildAnswer() Answer {
	a := Answer{Generation: g.generation, Hedges: g.hedges, Retries: g.retries, Moves: g.moves}
	for _, sq := range g.subqueries {
		g.addCoverage(&a, sq)
	}
	slices.SortFunc(a.Covered, comparePartitions)
	slices.SortFunc(a.Uncovered, func(x, y UncoveredPartition) int { return comparePartitions(x.PartitionRef, y.PartitionRef) })
	total := len(a.Covered) + len(a.Uncovered)
	a.MinimumReached = float64(len(a.Covered)) >= g.minimum*float64(total)
	return a
}

// addCoverage adds the results of sq, its covered partitions and its uncovered ones to a.
func (g *gather) addCoverage(a *Answer, sq *subquery) {
	table := g.scatterer.generations.Partitions(sq.service, g.generation)
	if len(table) == 0 {
		table = []string{"*"}
	}
	var got []string
	if sq.reply != nil {
		got = sq.reply.Partitions
		a.Results = append(a.Results, sq.reply.Results...)
		sq.reason = cmp.Or(sq.reason, "not-in-reply")
	}
	for _, name := range got {
		a.Covered = append(a.Covered, PartitionRef{sq.service, name})
	}
	for _, name := range table {
		if slices.Contains(got, name) || (name == "*" && len(got) > 0) {
			continue
		}
		a.Uncovered = append(a.Uncovered, UncoveredPartition{PartitionRef{sq.service, name}, sq.reason})
	}
}

func comparePartitions(a, b PartitionRef) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.Partition, b.Partition)
}
