package kwmaxflow

import "math"

// stepsPerDoubling is the number of quantisation steps in which a load doubles.
const stepsPerDoubling = 16

const maxQuantized = 255

// QuantizeLoad encodes a number of requests in one byte on a logarithmic scale, with a relative error of about 2%.
func QuantizeLoad(n int) uint8 {
	if n <= 0 {
		return 0
	}
	return uint8(min(maxQuantized, math.Round(stepsPerDoubling*math.Log2(1+float64(n)))))
}

// DequantizeLoad returns the number of requests that a byte from QuantizeLoad stands for.
func DequantizeLoad(b uint8) float64 {
	return math.Exp2(float64(b)/stepsPerDoubling) - 1
}
