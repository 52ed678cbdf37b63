// Package loader reads the YAML files that operators write: the settings of one
// process and the configuration documents of the whole system. Decoding is strict:
// unknown keys and wrong types are errors. The problems of all files are reported
// together, each with file, line and column.
package loader
