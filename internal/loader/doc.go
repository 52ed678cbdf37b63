// Package loader reads the YAML files of operators: the settings of one process
// and the configuration documents of the whole system. Decoding is strict. All
// problems of all files are reported together, each with file, line and column.
package loader
