// Package wire holds the generated protobuf types of the protocol between entry
// hosts and of the records in the platform's log. Only the encoder and the
// dispatcher use it.
package wire
