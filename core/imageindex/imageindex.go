// Package imageindex numbers the images of tasks. Their names are the callers' choice, so a
// bounded number of them are told apart at a time.
package imageindex

// Other is the index of work without an image, and of images that are too many.
const Other = 0

// Index numbers images from 1.
type Index struct {
	most    int
	indexes map[string]int
	// names are the images by index, free the indexes of those that are gone.
	names []string
	free  []int
}

// New returns an Index of at most so many images, Other among them.
func New(most int) Index {
	return Index{most: most, indexes: map[string]int{"": Other}, names: []string{Other: ""}}
}

// Of returns the index of an image, which it assigns if needed; ok is false if there is none
// left.
func (x *Index) Of(image string) (index int, ok bool) {
	if i, known := x.indexes[image]; known {
		return i, true
	}
	switch {
	case len(x.free) > 0:
		index, x.free = x.free[0], x.free[1:]
		x.names[index] = image
	case len(x.names) < x.most:
		index = len(x.names)
		x.names = append(x.names, image)
	default:
		return Other, false
	}
	x.indexes[image] = index
	return index, true
}

// Names returns the images by index. Those that were freed are among them until their
// indexes are assigned again.
func (x *Index) Names() []string { return x.names }

// Free frees the indexes of images that are not used, and returns these images.
func (x *Index) Free(isUsed func(index int) bool) []string {
	var gone []string
	for i, name := range x.names {
		if index, known := x.indexes[name]; i != Other && known && index == i && !isUsed(i) {
			delete(x.indexes, name)
			x.free = append(x.free, i)
			gone = append(gone, name)
		}
	}
	return gone
}
