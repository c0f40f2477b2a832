// Package kwplacement decides which model server of a fleet without agents holds which layers. It places whole copies of
// the model inside an availability zone and repairs them after the loss of a server.
package kwplacement
