package configurer

import (
	"cmp"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Kind is the kind of a document. Each kind has its own namespace.
type Kind string

// The kinds of document.
const (
	// ServiceKind is the kind of model services and application services.
	ServiceKind Kind = "service"
	// CustomerKind is the kind of customers.
	CustomerKind Kind = "customer"
	// RankKind is the kind of ranks.
	RankKind Kind = "rank"
)

// Key identifies one document.
type Key struct {
	kind Kind
	name string
}

// NewKey returns the key of a document.
func NewKey(kind Kind, name string) Key { return Key{kind: kind, name: name} }

// Kind returns the kind of the document.
func (k Key) Kind() Kind { return k.kind }

// Name returns the name of the document.
func (k Key) Name() string { return k.name }

// String returns the key as kind/name.
func (k Key) String() string { return string(k.kind) + "/" + k.name }

// compareKeys orders keys by kind, then by name.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// Document is the decoded content of one document: a service, a customer or a
// rank. The zero value stands for content that this version cannot decode.
type Document struct {
	key      Key
	service  fuchsiapitch.Service
	customer fuchsiapitch.Customer
	rank     fuchsiapitch.Rank
}

// NewServiceDocument returns a document that holds a service.
func NewServiceDocument(service fuchsiapitch.Service) Document {
	return Document{key: NewKey(ServiceKind, string(service.Name())), service: service}
}

// NewCustomerDocument returns a document that holds a customer.
func NewCustomerDocument(customer fuchsiapitch.Customer) Document {
	return Document{key: NewKey(CustomerKind, string(customer.Name())), customer: customer}
}

// NewRankDocument returns a document that holds a rank.
func NewRankDocument(rank fuchsiapitch.Rank) Document {
	return Document{key: NewKey(RankKind, string(rank.Name())), rank: rank}
}

// Key returns the key of the document. It is zero for the zero document.
func (d Document) Key() Key { return d.key }

// Service returns the service, if the document holds one.
func (d Document) Service() (fuchsiapitch.Service, bool) {
	return d.service, d.key.kind == ServiceKind
}

// Customer returns the customer, if the document holds one.
func (d Document) Customer() (fuchsiapitch.Customer, bool) {
	return d.customer, d.key.kind == CustomerKind
}

// Rank returns the rank, if the document holds one.
func (d Document) Rank() (fuchsiapitch.Rank, bool) {
	return d.rank, d.key.kind == RankKind
}
