package job

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
