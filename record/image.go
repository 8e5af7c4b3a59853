package record

import (
	"crypto/sha256"
	"fmt"

	"fulmarfall/ident"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file image.go -tests=false -io=false

//msgp:replace ident.OperationID with:string
//msgp:limit arrays:120000 maps:64
//msgp:tuple Stored OperationImage Image

// Stored is the encoded form of a Record.
type Stored struct {
	Kind      string
	Name      string
	Schema    uint32
	Revision  uint64
	Withdrawn bool
	Spec      []byte
	Index     uint64
}

// OperationImage is a remembered operation in an image.
type OperationImage struct {
	ID     ident.OperationID
	Sum    []byte
	Status uint8
	// Size is that of the spec in the result, also where the result is left out.
	Size uint32
	// Result is empty in the image for nodes, which answer no operator.
	Result []Stored
}

// Image is the content of a store in its fixed order.
type Image struct {
	Records    []Stored
	Operations []OperationImage
}

// ImageOf returns the form of a record that is encoded.
func ImageOf(r *Record) Stored {
	return Stored{
		Kind: string(r.Kind), Name: r.Name, Schema: uint32(r.Schema), Revision: uint64(r.Revision),
		Withdrawn: r.Withdrawn, Spec: r.Spec, Index: r.Index,
	}
}

// Record returns the record of an image.
func (r *Stored) Record() Record {
	rec := Record{
		Kind: Kind(r.Kind), Name: r.Name, Schema: Schema(r.Schema), Revision: ident.Revision(r.Revision),
		Withdrawn: r.Withdrawn, Index: r.Index,
	}
	if len(r.Spec) > 0 {
		rec.Spec = r.Spec
	}

	return rec
}

// Image returns the content in its fixed order. Without results it still has every operation id,
// because whether a change is accepted depends on them.
func (s *Store) Image(results bool) *Image {
	img := &Image{Records: make([]Stored, 0, len(s.entries)), Operations: make([]OperationImage, 0, len(s.order))}
	for _, rec := range s.List() {
		img.Records = append(img.Records, ImageOf(&rec))
	}
	for _, op := range s.order {
		o := OperationImage{ID: op.id, Sum: op.sum[:], Status: uint8(op.result.Status), Size: uint32(op.size)}
		if results {
			o.Result = []Stored{ImageOf(&op.result.Record)}
		}
		img.Operations = append(img.Operations, o)
	}

	return img
}

// FromImage builds a store. It refuses an image that breaks the store's bounds.
func FromImage(img *Image) (*Store, error) {
	if len(img.Records) > MaxRecords || len(img.Operations) > MaxOperations {
		return nil, fmt.Errorf("%d records and %d operations are above the bounds", len(img.Records), len(img.Operations))
	}
	s := NewStore()
	for i := range img.Records {
		rec := img.Records[i].Record()
		if rec.Revision == 0 {
			return nil, fmt.Errorf("records[%d].revision: is 0", i)
		}
		s.put(rec)
	}
	for i := range img.Operations {
		o := &img.Operations[i]
		if len(o.Sum) != sha256.Size || len(o.Result) > 1 || o.Size > MaxSpecBytes {
			return nil, fmt.Errorf("operations[%d]: has a wrong size", i)
		}
		op := &operation{id: o.ID, sum: [sha256.Size]byte(o.Sum), size: int(o.Size), result: Result{Status: Status(o.Status)}}
		if len(o.Result) == 1 {
			op.result.Record = o.Result[0].Record()
		}
		s.remember(op)
	}
	if len(s.entries) != len(img.Records) || len(s.ops) != len(img.Operations) {
		return nil, fmt.Errorf("a record or an operation occurs twice")
	}

	return s, nil
}
