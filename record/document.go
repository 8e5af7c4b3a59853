package record

import (
	"encoding/json"

	"fulmarfall/ident"
)

// MaxChangeBytes limits the body of a change: the spec and the fields around it.
const MaxChangeBytes = MaxSpecBytes + 1024

type putBody struct {
	Schema      Schema            `json:"schema"`
	Revision    ident.Revision    `json:"revision"`
	OperationID ident.OperationID `json:"operation_id"`
	Spec        json.RawMessage   `json:"spec"`
}

type withdrawBody struct {
	Revision    ident.Revision    `json:"revision"`
	OperationID ident.OperationID `json:"operation_id"`
}

// DecodePut decodes and validates the body of an operator's put. Errors contain the path of the
// invalid field.
func DecodePut(k Kind, name string, body []byte) (*Change, error) {
	if len(body) > MaxChangeBytes {
		return nil, fieldErrorf("", "has %d bytes; at most %d are allowed", len(body), MaxChangeBytes)
	}
	var b putBody
	if err := DecodeStrict(body, &b); err != nil {
		return nil, err
	}
	c := &Change{Kind: k, Name: name, Schema: b.Schema, Revision: b.Revision, Operation: b.OperationID, Spec: b.Spec}

	return c, c.Validate()
}

// DecodeWithdraw decodes and validates the body of an operator's withdrawal.
func DecodeWithdraw(k Kind, name string, body []byte) (*Change, error) {
	if len(body) > MaxChangeBytes {
		return nil, fieldErrorf("", "has %d bytes; at most %d are allowed", len(body), MaxChangeBytes)
	}
	var b withdrawBody
	if err := DecodeStrict(body, &b); err != nil {
		return nil, err
	}
	c := &Change{Kind: k, Name: name, Revision: b.Revision, Operation: b.OperationID, Withdraw: true}

	return c, c.Validate()
}

// Document is the JSON form of a record in responses to operators. Spec is the spec as stored.
type Document struct {
	Kind      Kind           `json:"kind"`
	Name      string         `json:"name"`
	Schema    Schema         `json:"schema"`
	Revision  ident.Revision `json:"revision"`
	Withdrawn bool           `json:"withdrawn,omitempty"`
	// Index is the log index of the change, from which a watch can resume.
	Index uint64          `json:"index,omitempty"`
	Spec  json.RawMessage `json:"spec,omitempty"`
}

// Document converts the record to its form in responses to operators.
func (r *Record) Document() Document {
	return Document{
		Kind: r.Kind, Name: r.Name, Schema: r.Schema, Revision: r.Revision, Withdrawn: r.Withdrawn,
		Index: r.Index, Spec: r.Spec,
	}
}

// Answer is the JSON form of the result of a change in responses to operators.
type Answer struct {
	Status   string `json:"status"`
	Repeated bool   `json:"repeated,omitempty"`
	// Record is the stored record, or the current one if the change was refused; nil if there is none.
	Record *Document `json:"record,omitempty"`
}

// Answer converts the result to its form in responses to operators.
func (r *Result) Answer() Answer {
	a := Answer{Status: r.Status.String(), Repeated: r.Repeated}
	if r.Record.Revision > 0 {
		d := r.Record.Document()
		a.Record = &d
	}

	return a
}
