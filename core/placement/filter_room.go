package placement

// RoomFilterName names the filter by committed sizes.
const RoomFilterName = "room"

// RoomFilter admits workers with free room in all three dimensions, by
// committed sizes.
type RoomFilter struct{}

// Name implements Filter.
func (RoomFilter) Name() string { return RoomFilterName }

// Admit implements Filter.
func (RoomFilter) Admit(_ *Snapshot, r *Request, w *Worker) bool {
	return r.Size.Fits(w.Free)
}
