package main

// cases are the cases by name. Each returns its exit code.
var cases = map[string]func(trouble bool) int{
	"upload": playUpload, "dedup": playDedup, "leaving": playLeaving,
}
