// Package readspb is the generated code of reads.proto; see scripts/generate.sh.
package readspb
