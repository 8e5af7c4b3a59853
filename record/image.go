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

// OperationImage is the encoded form of a retained operation.
type OperationImage struct {
	ID     ident.OperationID
	Sum    []byte
	Status uint8
	// Size is the size of the result's spec in bytes, also if the result is omitted.
	Size uint32
	// Result has at most one element. It is empty in images for nodes, which do not serve operators.
	Result []Stored
}

// Image is the content of a store in a deterministic order.
type Image struct {
	Records    []Stored
	Operations []OperationImage
}

// ImageOf converts a record to its encoded form.
func ImageOf(r *Record) Stored {
	return Stored{
		Kind: string(r.Kind), Name: r.Name, Schema: uint32(r.Schema), Revision: uint64(r.Revision),
		Withdrawn: r.Withdrawn, Spec: r.Spec, Index: r.Index,
	}
}

// Record converts the encoded form back to a record.
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

// Image returns the content in a deterministic order. Without results it still contains every
// operation id, because they determine whether a change is accepted.
func (s *Store) Image(results bool) *Image {
	img := &Image{Records: make([]Stored, 0, len(s.entries)), Operations: make([]OperationImage, 0, len(s.opOrder))}
	for _, rec := range s.List() {
		img.Records = append(img.Records, ImageOf(&rec))
	}
	for _, op := range s.opOrder {
		o := OperationImage{ID: op.id, Sum: op.contentHash[:], Status: uint8(op.result.Status), Size: uint32(op.size)}
		if results {
			o.Result = []Stored{ImageOf(&op.result.Record)}
		}
		img.Operations = append(img.Operations, o)
	}

	return img
}

// FromImage restores a store. It rejects an image that exceeds the limits of the store or contains
// duplicates.
func FromImage(img *Image) (*Store, error) {
	if len(img.Records) > MaxRecords || len(img.Operations) > MaxOperations {
		return nil, fmt.Errorf("%d records and %d operations exceed the limits of the store", len(img.Records), len(img.Operations))
	}
	s := NewStore()
	for i := range img.Records {
		rec := img.Records[i].Record()
		if rec.Revision == 0 {
			return nil, fmt.Errorf("records[%d].revision: must be 1 or above", i)
		}
		s.put(rec)
	}
	for i := range img.Operations {
		o := &img.Operations[i]
		if len(o.Sum) != sha256.Size || len(o.Result) > 1 || o.Size > MaxSpecBytes {
			return nil, fmt.Errorf("operations[%d]: hash length, number of results or spec size is invalid", i)
		}
		op := &operation{id: o.ID, contentHash: [sha256.Size]byte(o.Sum), size: int(o.Size), result: Result{Status: Status(o.Status)}}
		if len(o.Result) == 1 {
			op.result.Record = o.Result[0].Record()
		}
		s.addOperation(op)
	}
	if len(s.entries) != len(img.Records) || len(s.ops) != len(img.Operations) {
		return nil, fmt.Errorf("duplicate record or operation")
	}

	return s, nil
}
