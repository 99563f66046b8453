// Package wire holds the messages that the processes of filberthoist exchange.
//
// The Go code is generated from wire.proto and committed, so that a build needs no generator.
package wire
