// Package kwplacement decides which model server of a fleet without agents holds which layers. It places whole copies of
// the model inside an availability zone, repairs them after the loss of a server, and rearranges them step by step if it does not
// return.
package kwplacement
