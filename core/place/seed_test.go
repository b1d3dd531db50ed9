package place

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
