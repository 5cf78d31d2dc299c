package engine_test

import "flag"

func init() { _ = flag.Set("rapid.seed", "20261203") }
