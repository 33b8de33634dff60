// Package config reads and validates the configuration of a gateway: the platform's NODE_CONFIG with its environment variables
// ([Load]), or an operator's file ([LoadOperator]). Both are converted to a [Node], which includes the settings of the decision
// module.
//
// The package defines the formats of both files: keys, defaults, ranges and errors, each of which names the field. It does not
// open listeners or connections and does not choose between the files. The ranges of [control.Settings] are checked by package
// control. The keys are mapped to the names of the settings in simproto.Settings for the platform's file and in
// operator_node.go for the operator's.
package config
