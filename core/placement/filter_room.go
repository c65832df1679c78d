package placement

// RoomFilterName is the name of RoomFilter.
const RoomFilterName = "room"

// RoomFilter admits workers whose uncommitted resources are at least the
// task's size in all three dimensions.
type RoomFilter struct{}

// Name implements Filter.
func (RoomFilter) Name() string { return RoomFilterName }

// Admit implements Filter.
func (RoomFilter) Admit(_ *Snapshot, r *Request, w *Worker) bool {
	return r.Size.Fits(w.Free)
}
