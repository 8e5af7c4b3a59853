// Package record implements the operator records: their kinds, schema versions and validation, and a
// store with revisions, operation ids and tombstones. The store is part of the replicated state.
// Whether a change is accepted depends only on revisions, operation ids and sizes, never on the
// meaning of the spec, so replicas that run different program versions agree. Specs are validated
// before a change is proposed.
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

// Limits of the store. They are constants, because all replicas must use the same values.
const (
	// MaxRecords limits the number of records, including tombstones.
	MaxRecords = 100000
	// MaxOperations is the number of operation ids that are retained: four days at 2,500 changes a
	// day. A later resend is still subject to the revision check.
	MaxOperations = 10000
	// MaxSpecBytesTotal limits the specs of all records, and MaxOperationBytes those in the results
	// of retained operations. Each is a quarter of the memory that a node has for control state;
	// at the design size, the specs take less than 5 MB.
	MaxSpecBytesTotal   = 16 << 20
	MaxOperationBytes   = 16 << 20
	MaxOperationIDBytes = 128
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Record is one revision of an operator record.
type Record struct {
	Kind     Kind
	Name     string
	Schema   Schema
	Revision ident.Revision
	// Withdrawn marks a tombstone, which has no spec.
	Withdrawn bool
	// Spec holds the bytes as the operator sent them. It must not be modified.
	Spec []byte
	// Index is the log index of the change that created this revision.
	Index uint64
}

// Key returns the kind and name that identify the record.
func (r *Record) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// Change is a put or a withdrawal of one record.
type Change struct {
	Kind      Kind
	Name      string
	Schema    Schema
	Revision  ident.Revision
	Operation ident.OperationID
	Withdraw  bool
	Spec      []byte
	// Index is the log index. It is set when the change is applied, and is not part of the content
	// hash.
	Index uint64
}

// Validate checks a change before it is proposed. Errors contain the path of the invalid field.
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

// contentHash returns the hash of a change's content. White space in the spec is ignored, so that a
// resend is recognised even if the client formats its JSON differently.
func (c *Change) contentHash() [sha256.Size]byte {
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
		specStart := buf.Len()
		if err := json.Compact(&buf, c.Spec); err != nil {
			buf.Truncate(specStart)
			buf.Write(c.Spec)
		}
	}

	return sha256.Sum256(buf.Bytes())
}

// Status is the outcome of a change.
type Status uint8

// Outcomes of a change.
const (
	// StatusStored means that the change was applied.
	StatusStored Status = iota + 1
	// StatusConflict means that the revision is not the current one plus 1.
	StatusConflict
	// StatusOperationReused means that the operation id was already used with different content.
	StatusOperationReused
	// StatusNothingToWithdraw means that there is no record, or only a tombstone.
	StatusNothingToWithdraw
	// StatusFull means that the store has MaxRecords records or MaxSpecBytesTotal bytes of specs.
	StatusFull
)

// String returns the name of the status in responses to operators.
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

// Result is the result of applying a change.
type Result struct {
	Status Status
	// Repeated means that the change is a resend, and that this is its original result.
	Repeated bool
	// Record is the stored record, or the current one if the change was refused. Its revision is 0
	// if there is none.
	Record Record
}

type operation struct {
	id          ident.OperationID
	contentHash [sha256.Size]byte
	result      Result
	// size is the size of the result's spec in bytes. It is kept even if the result is omitted, so
	// that all replicas and nodes evict an operation at the same log index.
	size int
}

type entry struct {
	rec  Record
	spec Spec // in the newest schema; nil for a tombstone or if it cannot be decoded
}

// Store is an in-memory table of operator records. It is not safe for concurrent use.
type Store struct {
	entries map[Key]*entry
	ops     map[ident.OperationID]*operation
	opOrder []*operation // oldest first
	teams   []ident.TeamID
	version uint64
	// specBytes and opBytes are limited by MaxSpecBytesTotal and MaxOperationBytes.
	specBytes, opBytes int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[Key]*entry), ops: make(map[ident.OperationID]*operation)}
}

// Version increases with each stored change. Readers use it to invalidate derived data.
func (s *Store) Version() uint64 { return s.version }

// AdvanceVersionPast raises the version above that of the store that this one replaces, so that
// readers detect the replacement.
func (s *Store) AdvanceVersionPast(old *Store) { s.version += old.version + 1 }

// Len returns the number of records and tombstones.
func (s *Store) Len() int { return len(s.entries) }

// Apply applies a change and returns its result. For a resend it returns the original result.
func (s *Store) Apply(c *Change) Result {
	contentHash := c.contentHash()
	if op, ok := s.ops[c.Operation]; ok {
		if op.contentHash != contentHash {
			return Result{Status: StatusOperationReused, Record: s.current(Key{c.Kind, c.Name})}
		}
		repeated := op.result
		repeated.Repeated = true

		return repeated
	}
	res := s.applyChange(c)
	// Refused changes are retained too: a delayed copy of one must not be accepted later.
	s.addOperation(&operation{id: c.Operation, contentHash: contentHash, result: res, size: len(res.Record.Spec)})

	return res
}

func (s *Store) applyChange(c *Change) Result {
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
		// A spec that this program cannot decode has no effect, whatever its schema version.
		if spec, err := DecodeSpec(rec.Kind, rec.Name, rec.Schema, rec.Spec); err == nil && spec != nil {
			e.spec = upgradeSpec(spec)
		}
	}
	s.version++
	s.specBytes += len(rec.Spec) - len(s.current(rec.Key()).Spec)
	s.entries[rec.Key()] = e
	if rec.Kind != KindCallingTeam {
		return
	}
	id := ident.TeamID(rec.Name)
	i, listed := slices.BinarySearch(s.teams, id)
	_, readable := e.spec.(*CallingTeamV1)
	switch {
	case readable && !listed:
		s.teams = slices.Insert(s.teams, i, id)
	case !readable && listed:
		s.teams = slices.Delete(s.teams, i, i+1)
	}
}

func (s *Store) addOperation(op *operation) {
	s.ops[op.id] = op
	s.opOrder = append(s.opOrder, op)
	s.opBytes += op.size
	for len(s.opOrder) > MaxOperations || s.opBytes > MaxOperationBytes {
		old := s.opOrder[0]
		s.opBytes -= old.size
		delete(s.ops, old.id)
		s.opOrder[0] = nil
		s.opOrder = s.opOrder[1:]
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

// List returns all records and tombstones, ordered by kind and name.
func (s *Store) List() []Record {
	list := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e.rec)
	}
	slices.SortFunc(list, func(a, b Record) int { return compareKeys(a.Key(), b.Key()) })

	return list
}

// ChangedSince returns the records and tombstones whose last change came after a log index, in the
// order of these changes. The list is complete for any index, because tombstones are never deleted.
func (s *Store) ChangedSince(index uint64) []Record {
	list := slices.DeleteFunc(s.List(), func(r Record) bool { return r.Index <= index })
	slices.SortStableFunc(list, func(a, b Record) int { return cmp.Compare(a.Index, b.Index) })

	return list
}
