// Package record keeps the operator records: their kinds and schema versions, validation, and a
// store with revisions, operation ids and tombstones. The store is part of the replicated state.
// Whether a change is accepted depends only on revisions and operation ids, never on the spec, so
// replicas of different program versions agree; specs are checked before a change is proposed.
package record

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"

	"fulmarfall/ident"
)

// Bounds of the store. They are constants, because all replicas must agree on them.
const (
	// MaxRecords counts records and tombstones.
	MaxRecords = 100000
	// MaxOperations is the number of operation ids that are remembered: four days at 2,500
	// changes a day. A resend after that meets the revision check.
	MaxOperations = 10000
	// MaxSpecBytesTotal bounds the specs of all records, and MaxOperationBytes those in the
	// results of remembered operations. Each is a quarter of the memory that a node has for
	// control; the specs of the design size take under 5 MB.
	MaxSpecBytesTotal = 16 << 20
	MaxOperationBytes = 16 << 20
	// MaxOperationIDBytes bounds an operation id.
	MaxOperationIDBytes = 128
)

// Key names a record.
type Key struct {
	Kind Kind
	Name string
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Record is one record as operators read and write it.
type Record struct {
	Kind     Kind
	Name     string
	Schema   Schema
	Revision ident.Revision
	// Withdrawn marks a tombstone. It has no spec.
	Withdrawn bool
	// Spec holds the bytes as the operator sent them. It must not be changed.
	Spec []byte
	// Index is the position in the log of the change that made this revision.
	Index uint64
}

// Key returns the record's key.
func (r *Record) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// Change is a put or a withdrawal.
type Change struct {
	Kind      Kind
	Name      string
	Schema    Schema
	Revision  ident.Revision
	Operation ident.OperationID
	Withdraw  bool
	Spec      []byte
	// Index is the position in the log. It is known when the change is applied, and is no part of
	// its content.
	Index uint64
}

// Validate checks a change before it is proposed. Errors name the field's path.
func (c *Change) Validate() error {
	if len(c.Operation) == 0 || len(c.Operation) > MaxOperationIDBytes {
		return fieldErrorf("operation_id", "has %d bytes; 1 to %d are allowed", len(c.Operation), MaxOperationIDBytes)
	}
	if c.Revision == 0 {
		return fieldErrorf("revision", "must be 1 or above")
	}
	if c.Withdraw {
		if c.Kind.Newest() == 0 {
			return fieldErrorf("kind", "%q is not a record kind", c.Kind)
		}

		return checkName(c.Kind, c.Name)
	}
	_, err := DecodeSpec(c.Kind, c.Name, c.Schema, c.Spec)

	return err
}

// sum is the fingerprint of a change's content. White space in the spec does not count, so that a
// resend by a client that formats its JSON anew is still a resend.
func (c *Change) sum() [sha256.Size]byte {
	var buf bytes.Buffer
	for _, part := range []string{string(c.Kind), c.Name} {
		buf.Write(binary.AppendUvarint(nil, uint64(len(part))))
		buf.WriteString(part)
	}
	buf.Write(binary.AppendUvarint(nil, uint64(c.Revision)))
	if c.Withdraw {
		buf.WriteByte(1)
	} else {
		buf.WriteByte(0)
		buf.Write(binary.AppendUvarint(nil, uint64(c.Schema)))
		mark := buf.Len()
		if err := json.Compact(&buf, c.Spec); err != nil {
			buf.Truncate(mark)
			buf.Write(c.Spec)
		}
	}

	return sha256.Sum256(buf.Bytes())
}

// Status says what became of a change.
type Status uint8

// The statuses of a change.
const (
	// StatusStored means that the change is in force.
	StatusStored Status = iota + 1
	// StatusConflict means that the revision is not the current one plus 1.
	StatusConflict
	// StatusOperationReused means that the operation id was used with other content.
	StatusOperationReused
	// StatusNothingToWithdraw means that there is no record, or only a tombstone.
	StatusNothingToWithdraw
	// StatusFull means that the store has MaxRecords records or MaxSpecBytesTotal bytes of specs.
	StatusFull
)

// String returns the name of the status in answers to operators.
func (s Status) String() string {
	switch s {
	case StatusStored:
		return "stored"
	case StatusConflict:
		return "revision_conflict"
	case StatusOperationReused:
		return "operation_id_reused"
	case StatusNothingToWithdraw:
		return "nothing_to_withdraw"
	case StatusFull:
		return "store_full"
	default:
		return "unknown"
	}
}

// Result is the answer to a change.
type Result struct {
	Status Status
	// Repeated means that this is the first result again.
	Repeated bool
	// Record is the record as stored, or the current one on a conflict. Its revision is 0 when
	// there is none.
	Record Record
}

type operation struct {
	id     ident.OperationID
	sum    [sha256.Size]byte
	result Result
	// size is that of the spec in the result. It is kept where the result is not, so that all
	// replicas and nodes forget an operation at the same time.
	size int
}

type entry struct {
	rec  Record
	spec Spec // newest schema; nil for a tombstone or when it grants nothing
}

// Store holds the records. It is not safe for concurrent use.
type Store struct {
	entries map[Key]*entry
	ops     map[ident.OperationID]*operation
	order   []*operation // oldest first
	teams   []ident.TeamID
	version uint64
	// specBytes and opBytes are the sizes that the bounds are about.
	specBytes, opBytes int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[Key]*entry), ops: make(map[ident.OperationID]*operation)}
}

// Version grows with each stored change. Readers use it to keep what they derived.
func (s *Store) Version() uint64 { return s.version }

// Follow makes the version greater than that of the store that this one replaces, so that readers
// notice the replacement.
func (s *Store) Follow(old *Store) { s.version += old.version + 1 }

// Len returns the number of records and tombstones.
func (s *Store) Len() int { return len(s.entries) }

// Apply makes a change or says why not.
func (s *Store) Apply(c *Change) Result {
	sum := c.sum()
	if op, ok := s.ops[c.Operation]; ok {
		if op.sum != sum {
			return Result{Status: StatusOperationReused, Record: s.current(Key{c.Kind, c.Name})}
		}
		again := op.result
		again.Repeated = true

		return again
	}
	res := s.change(c)
	// Refusals are remembered too: a delayed copy of a refused change must not be accepted later.
	s.remember(&operation{id: c.Operation, sum: sum, result: res, size: len(res.Record.Spec)})

	return res
}

func (s *Store) change(c *Change) Result {
	key := Key{c.Kind, c.Name}
	cur := s.current(key)
	switch {
	case c.Revision != cur.Revision+1:
		return Result{Status: StatusConflict, Record: cur}
	case c.Withdraw && (cur.Revision == 0 || cur.Withdrawn):
		return Result{Status: StatusNothingToWithdraw, Record: cur}
	case cur.Revision == 0 && len(s.entries) >= MaxRecords,
		!c.Withdraw && s.specBytes-len(cur.Spec)+len(c.Spec) > MaxSpecBytesTotal:
		return Result{Status: StatusFull, Record: cur}
	}
	rec := Record{Kind: c.Kind, Name: c.Name, Schema: c.Schema, Revision: c.Revision, Index: c.Index}
	if c.Withdraw {
		rec.Schema, rec.Withdrawn = cur.Schema, true
	} else {
		rec.Spec = c.Spec
	}
	s.put(rec)

	return Result{Status: StatusStored, Record: rec}
}

func (s *Store) current(k Key) Record {
	if e, ok := s.entries[k]; ok {
		return e.rec
	}

	return Record{Kind: k.Kind, Name: k.Name}
}

func (s *Store) put(rec Record) {
	e := &entry{rec: rec}
	if !rec.Withdrawn {
		// A spec that this program cannot read grants nothing, whatever its schema version.
		if spec, err := DecodeSpec(rec.Kind, rec.Name, rec.Schema, rec.Spec); err == nil && spec != nil {
			e.spec = newestSpec(spec)
		}
	}
	s.version++
	s.specBytes += len(rec.Spec) - len(s.current(rec.Key()).Spec)
	s.entries[rec.Key()] = e
	if rec.Kind != KindCallingTeam {
		return
	}
	id := ident.TeamID(rec.Name)
	i, known := slices.BinarySearch(s.teams, id)
	_, live := e.spec.(*CallingTeamV1)
	switch {
	case live && !known:
		s.teams = slices.Insert(s.teams, i, id)
	case !live && known:
		s.teams = slices.Delete(s.teams, i, i+1)
	}
}

func (s *Store) remember(op *operation) {
	s.ops[op.id] = op
	s.order = append(s.order, op)
	s.opBytes += op.size
	for len(s.order) > MaxOperations || s.opBytes > MaxOperationBytes {
		old := s.order[0]
		s.opBytes -= old.size
		delete(s.ops, old.id)
		s.order[0] = nil
		s.order = s.order[1:]
	}
}

// Get returns a record or tombstone.
func (s *Store) Get(k Kind, name string) (Record, bool) {
	e, ok := s.entries[Key{k, name}]
	if !ok {
		return Record{}, false
	}

	return e.rec, true
}

// List returns all records and tombstones ordered by kind and name.
func (s *Store) List() []Record {
	list := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e.rec)
	}
	slices.SortFunc(list, func(a, b Record) int { return compareKeys(a.Key(), b.Key()) })

	return list
}

// ChangedSince returns the records and tombstones that were changed after a position in the log, in
// the order of their last changes. It is complete whatever the position, because every record that
// ever was is kept.
func (s *Store) ChangedSince(index uint64) []Record {
	list := slices.DeleteFunc(s.List(), func(r Record) bool { return r.Index <= index })
	slices.SortStableFunc(list, func(a, b Record) int { return cmp.Compare(a.Index, b.Index) })

	return list
}
