// Package plugins imports every plug-in of the host process for its registration.
package plugins

import (
	// The init function of each package registers its plug-in with the kernel.
	_ "rosemarywalk/io/caller"
	_ "rosemarywalk/io/claim"
	_ "rosemarywalk/io/config"
	_ "rosemarywalk/io/dispatch"
	_ "rosemarywalk/io/drain"
	_ "rosemarywalk/io/entry"
	_ "rosemarywalk/io/executor"
	_ "rosemarywalk/io/feed"
	_ "rosemarywalk/io/host"
	_ "rosemarywalk/io/intake"
	_ "rosemarywalk/io/member"
	_ "rosemarywalk/io/memory"
	_ "rosemarywalk/io/operator"
	_ "rosemarywalk/io/peer"
	_ "rosemarywalk/io/platform"
	_ "rosemarywalk/io/ready"
	_ "rosemarywalk/io/roster"
	_ "rosemarywalk/io/scheduler"
	_ "rosemarywalk/io/telemetry"
	_ "rosemarywalk/io/watch"
	_ "rosemarywalk/platform"
)
