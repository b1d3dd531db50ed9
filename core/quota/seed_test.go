package quota

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
