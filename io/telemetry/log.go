package telemetry

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rosemarywalk/io/settings"
)

// NewLogger returns a logger to standard error with the format and level set.
func NewLogger(s settings.Settings) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	if s.Text(section, "format") == "console" {
		config = zap.NewDevelopmentConfig()
		config.Development = false
	}
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.Level = zap.NewAtomicLevelAt(level(s.Text(section, "level")))
	logger, err := config.Build()
	if err != nil {
		return logr.Discard(), errors.Annotate(err, "build logger")
	}
	return zapr.NewLogger(logger), nil
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
