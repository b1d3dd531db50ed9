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

// Log sampling: in each second, the first sampleFirst lines of a message are written,
// then every sampleThereafter-th one. Dropped lines are counted.
const (
	sampleFirst      = 200
	sampleThereafter = 50
)

// Causes of dropped log lines, the values of the metric's cause label.
const (
	causeSampled = "sampled" // dropped by sampling
	causeFull    = "full"    // the queue of lines to write was full
)

// NewLogger returns a logger with the format, level and output of the settings.
// Logging never blocks the caller.
func NewLogger(lc fx.Lifecycle, s settings.Settings, r *prometheus.Registry) logr.Logger {
	dropped := newCounterVec("log_lines_dropped_total", "Log lines that were not written.", "cause")
	sampled, full := dropped.WithLabelValues(causeSampled), dropped.WithLabelValues(causeFull)
	r.MustRegister(dropped)
	out := os.Stderr
	if s.Text(section, "output") == "stdout" {
		out = os.Stdout
	}
	lines := newWriter(out, full)
	lc.Append(fx.StopHook(lines.drain))
	core := zapcore.NewCore(encoder(s), lines, level(s.Text(section, "level")))
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter,
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
