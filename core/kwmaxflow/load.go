package kwmaxflow

import "math"

// loadSteps is how many steps of a quantised load double it.
const loadSteps = 16

const maxQuantised = 255

// QuantiseLoad packs a number of requests into one byte, with a relative error of about 2%.
func QuantiseLoad(n int) uint8 {
	if n <= 0 {
		return 0
	}
	return uint8(min(maxQuantised, math.Round(loadSteps*math.Log2(1+float64(n)))))
}

// DequantiseLoad returns the number of requests of a quantised load.
func DequantiseLoad(b uint8) float64 {
	return math.Exp2(float64(b)/loadSteps) - 1
}
