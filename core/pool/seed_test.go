package pool

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
