package document

import "rosemarywalk/internal/seed"

func init() { seed.Fix() }
