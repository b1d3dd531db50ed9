package queue

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
