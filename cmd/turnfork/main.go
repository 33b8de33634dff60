// Command turnfork is the gateway: NODE_CONFIG names its configuration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork"
	"turnfork.dev/turnfork/config"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	node, err := config.Load(os.Getenv("NODE_CONFIG"), os.Getenv)
	if err != nil {
		log.Fatal().Err(err).Msg("configuration")
	}
	turnfork.Limit(node.Cores, node.MemoryMB)
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer done()
	if err := turnfork.Run(context.Background(), turnfork.Config{Node: node, Log: log, Stop: stop.Done()}); err != nil {
		log.Fatal().Err(err).Msg("gateway ended")
	}
}
