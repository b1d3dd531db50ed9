package explore

import (
	"testing"
	"time"
)

func TestHomesWorld(t *testing.T) {
	for _, test := range []struct {
		name string
		HomesConfig
	}{
		{
			name: "short job",
			HomesConfig: HomesConfig{
				Kinds:    []Kind{Cut, Vanish},
				Declared: 2 * step,
				RunTime:  3 * step,
			},
		},
		{
			name: "short job that runs long",
			HomesConfig: HomesConfig{
				Kinds:    []Kind{Cut, Vanish},
				Declared: 2 * step,
				RunTime:  20 * step,
			},
		},
		{
			name: "long job",
			HomesConfig: HomesConfig{
				Kinds:    []Kind{Cut, Vanish},
				Declared: 2 * time.Second,
				RunTime:  20 * step,
			},
		},
		{
			name: "homes freeze and die",
			HomesConfig: HomesConfig{
				Kinds:    []Kind{Freeze, Die, Vanish},
				Declared: 2 * time.Second,
				RunTime:  20 * step,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			assertUnbroken(t, 2000, func(trace func(string)) World[Event] { return NewHomesWorld(test.HomesConfig, trace) })
		})
	}
}
