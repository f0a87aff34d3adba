//go:build tools

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/chzyer/readline"
	_ "github.com/coder/websocket"
	_ "github.com/dchest/siphash"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/quic-go/quic-go/http3"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/tailscale/hujson"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
