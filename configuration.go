package fuchsiapitch

import (
	"cmp"
	"maps"
	"slices"
)

// Configuration is one accepted version of what operators publish: the services,
// the customers and the ranks. It is immutable.
type Configuration struct {
	offset             Offset
	hash               uint64
	services           map[ServiceName]Service
	customers          map[CustomerName]Customer
	ranks              map[RankName]Rank
	customersByKeyHash map[string]CustomerName
}

// NewConfiguration returns the configuration that results from the log up to and
// including offset. Two hosts at the same offset have the same hash.
func NewConfiguration(offset Offset, hash uint64, services []Service, customers []Customer, ranks []Rank) Configuration {
	c := Configuration{
		offset: offset, hash: hash,
		services:           make(map[ServiceName]Service, len(services)),
		customers:          make(map[CustomerName]Customer, len(customers)),
		ranks:              make(map[RankName]Rank, len(ranks)),
		customersByKeyHash: make(map[string]CustomerName),
	}
	for _, s := range services {
		c.services[s.name] = s
	}
	for _, r := range ranks {
		c.ranks[r.name] = r
	}
	for _, u := range customers {
		c.customers[u.name] = u
		for _, h := range u.keyHashes {
			c.customersByKeyHash[h] = u.name
		}
	}
	return c
}

// Offset returns the offset of the last log record applied to the configuration.
func (c Configuration) Offset() Offset { return c.offset }

// Hash returns the hash of the content.
func (c Configuration) Hash() uint64 { return c.hash }

// Service returns a service by name.
func (c Configuration) Service(name ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the services sorted by name.
func (c Configuration) Services() []Service {
	return slices.SortedFunc(maps.Values(c.services), func(a, b Service) int { return cmp.Compare(a.name, b.name) })
}

// Customer returns a customer by name.
func (c Configuration) Customer(name CustomerName) (Customer, bool) {
	u, ok := c.customers[name]
	return u, ok
}

// Customers returns the customers sorted by name.
func (c Configuration) Customers() []Customer {
	return slices.SortedFunc(maps.Values(c.customers), func(a, b Customer) int { return cmp.Compare(a.name, b.name) })
}

// CustomerByKeyHash returns the customer that a bearer key belongs to. The key is
// given by its SHA-256 hash in hexadecimal.
func (c Configuration) CustomerByKeyHash(hash string) (Customer, bool) {
	n, ok := c.customersByKeyHash[hash]
	if !ok {
		return Customer{}, false
	}
	return c.Customer(n)
}

// Rank returns a rank by name.
func (c Configuration) Rank(name RankName) (Rank, bool) {
	r, ok := c.ranks[name]
	return r, ok
}

// Ranks returns the ranks, most urgent first.
func (c Configuration) Ranks() []Rank {
	return slices.SortedFunc(maps.Values(c.ranks), func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.name, b.name))
	})
}
