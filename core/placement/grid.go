package placement

import (
	"math/bits"

	"github.com/guavarill/guavarill/core/model"
)

// The grid sorts eligible workers into cells by the size of their free room:
// processors and memory on scales with two steps to each doubling,
// accelerators with one. Amounts below a unit share the first step.
const (
	levels            = 32
	acceleratorLevels = 4
	cpuUnitMilli      = 64
	memoryUnitMB      = 128
)

// level returns the step of a number of units: 0 for none, then two steps a
// doubling.
func level(units int64) int {
	if units <= 0 {
		return 0
	}
	top := bits.Len64(uint64(units))
	half := 0
	if top >= 2 {
		half = int(units>>(top-2)) & 1
	}
	return min(2*top-1+half, levels-1)
}

func acceleratorLevel(n int64) int {
	return min(bits.Len64(uint64(max(0, n))), acceleratorLevels-1)
}

// cellRef is a cell's place in the grid.
type cellRef struct {
	accelerators, cpu, memory int8
}

func cellOf(free model.Resources) cellRef {
	return cellRef{
		accelerators: int8(acceleratorLevel(free.Accelerators)),
		cpu:          int8(level(free.MilliCPU / cpuUnitMilli)),
		memory:       int8(level(free.MemoryMB / memoryUnitMB)),
	}
}

// grid holds, per cell, the slots of the workers in it, and bitmaps of the
// cells that are not empty so that empty ones cost nothing to pass over.
type grid struct {
	cells [acceleratorLevels][levels][levels][]int32
	// memory marks the occupied memory levels of a row.
	memory [acceleratorLevels][levels]uint32
	// cpu marks the rows that have an occupied cell.
	cpu [acceleratorLevels]uint32
}

func (g *grid) cell(c cellRef) *[]int32 {
	return &g.cells[c.accelerators][c.cpu][c.memory]
}

// add puts a slot into a cell and returns its position there.
func (g *grid) add(c cellRef, slot int32) int {
	list := g.cell(c)
	*list = append(*list, slot)
	g.memory[c.accelerators][c.cpu] |= 1 << c.memory
	g.cpu[c.accelerators] |= 1 << c.cpu
	return len(*list) - 1
}

// remove takes out the slot at a position and returns the slot that took its
// place there, or -1.
func (g *grid) remove(c cellRef, position int) int32 {
	list := g.cell(c)
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[position] = moved
	*list = (*list)[:last]
	if last == 0 {
		g.memory[c.accelerators][c.cpu] &^= 1 << c.memory
		if g.memory[c.accelerators][c.cpu] == 0 {
			g.cpu[c.accelerators] &^= 1 << c.cpu
		}
	}
	if position == last {
		return -1
	}
	return moved
}

// visit calls fn for each occupied cell whose workers may have room, the
// tightest first and those with unneeded accelerators last, until fn returns
// false.
func (g *grid) visit(size model.Resources, fn func(slots []int32) bool) {
	from := cellOf(size)
	for a := int(from.accelerators); a < acceleratorLevels; a++ {
		for rows := g.cpu[a] >> from.cpu << from.cpu; rows != 0; rows &= rows - 1 {
			cpu := bits.TrailingZeros32(rows)
			for cells := g.memory[a][cpu] >> from.memory << from.memory; cells != 0; cells &= cells - 1 {
				if !fn(g.cells[a][cpu][bits.TrailingZeros32(cells)]) {
					return
				}
			}
		}
	}
}
