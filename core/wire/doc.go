// Package wire holds the protocol messages that the processes of filberthoist exchange, and the
// names and encodings that they share.
//
// The Go code is generated from wire.proto and committed, so that a build needs no generator.
package wire
