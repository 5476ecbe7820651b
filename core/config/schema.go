package config

import (
	"bytes"
	_ "embed" // for schema.json

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// schemaResource is the name of the schema within the schema compiler.
const schemaResource = "plan.json"

//go:embed schema.json
var schemaJSON []byte

var schema = mustCompileSchema()

// Schema returns the published JSON schema of a configuration.
func Schema() []byte { return bytes.Clone(schemaJSON) }

// mustCompileSchema compiles the embedded schema. It panics if the schema is invalid, which
// would prevent every process from starting.
func mustCompileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaResource, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaResource)
}
