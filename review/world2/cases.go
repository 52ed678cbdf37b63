//go:build review

package main

// cases are the cases by name, each for one folder of the review.
var cases = map[string]func(*world) int{
	"leaving": playLeaving,
	"crowd":   playCrowd,
	"dark":    playDark,
	"herd":    playHerd,
}
