// Package wire holds the generated wire types of the protocol between entry
// hosts and of the records of the platform's log. Only codecs use it.
package wire
