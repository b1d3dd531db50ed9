package telemetry

import (
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rosemarywalk/io/settings"
)

// In each second, this many lines of one message are written, and then each
// so-many-th; those left out are counted.
const (
	sampleFirst = 200
	sampleEach  = 50
)

// The causes for which log lines are left out.
const (
	causeSampled = "sampled" // more lines of one message than are written in a second
	causeFull    = "full"    // the lines can't be written as fast as they come
)

// NewLogger returns a logger with the format, level and output set; it never
// blocks its callers.
func NewLogger(lc fx.Lifecycle, s settings.Settings, r *prometheus.Registry) logr.Logger {
	dropped := vector("log_lines_dropped_total", "Log lines that were not written.", "cause")
	sampled, full := dropped.WithLabelValues(causeSampled), dropped.WithLabelValues(causeFull)
	r.MustRegister(dropped)
	out := os.Stderr
	if s.Text(section, "output") == "stdout" {
		out = os.Stdout
	}
	lines := newWriter(out, full)
	lc.Append(fx.StopHook(lines.drain))
	core := zapcore.NewCore(encoder(s), lines, level(s.Text(section, "level")))
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEach,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				sampled.Inc()
			}
		}))
	return zapr.NewLogger(zap.New(core))
}

func encoder(s settings.Settings) zapcore.Encoder {
	if s.Text(section, "format") == "console" {
		return zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(config)
}

func level(name string) zapcore.Level {
	switch name {
	case "debug":
		return zapcore.DebugLevel
	case "error":
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}
