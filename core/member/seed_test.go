package member

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
