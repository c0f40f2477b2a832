// Package kwcalltable keeps an agent's record of service calls, so that each attempt runs at most once and can be
// fenced.
package kwcalltable
