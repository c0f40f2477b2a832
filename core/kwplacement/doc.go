// Package kwplacement decides which model server holds which layers: whole copies inside an availability zone, and
// repair after a loss.
package kwplacement
