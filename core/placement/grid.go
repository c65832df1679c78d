package placement

import (
	"math/bits"

	"github.com/guavarill/guavarill/core/model"
)

// The grid sorts eligible workers into cells by their free resources.
// Processors and memory have two levels to each doubling, accelerators one.
// Amounts below one unit share the lowest level.
const (
	levels            = 32
	acceleratorLevels = 4
	cpuUnitMilli      = 64
	memoryUnitMB      = 128
)

// level returns the level of a number of units: 0 for none, then two levels to
// each doubling.
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

// cellRef holds the coordinates of a cell in the grid.
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

// grid holds the slots of the workers in each cell. Bitmaps of the non-empty
// cells let a search skip empty ones at no cost.
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

// add appends a slot to a cell and returns its position in the cell.
func (g *grid) add(c cellRef, slot int32) int {
	list := g.cell(c)
	*list = append(*list, slot)
	g.memory[c.accelerators][c.cpu] |= 1 << c.memory
	g.cpu[c.accelerators] |= 1 << c.cpu
	return len(*list) - 1
}

// remove deletes the slot at a position of a cell. It returns the slot that was
// moved to that position, or -1 if none was.
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

// visit calls fn for each non-empty cell whose workers may have room for a
// size, until fn returns false. Cells with fewer accelerators come first, then
// those with less free processors, then those with less free memory, so that
// workers with unneeded accelerators come last. Workers of the lowest cells
// may still lack room.
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
