# Every key of a plan file, as commit 352ebf2 read them.
plan "coach" {
  within   = "10m"
  attempts = 1000

  stage "prices" {
    class      = "notice"
    path       = "/prices/${segment(input.tour)}"
    shared     = "prices-${segment(input.tour)}"
    shared_for = "30s"
    retry {
      on     = ["refused", "full", "unsent", "late", "failed", "reset"]
      most   = 1
      wait   = "200ms"
      jitter = 0.5
    }
  }

  stage "hold" {
    class    = "hold"
    after    = ["prices"]
    each     = input.seats
    most     = 50
    at_least = 40
    path     = "/hold"
    body     = { seat = item, price = prices.list.seat }
    key      = "${input.booking}-${item}"
    cost     = "750ms"
    retry {
      on           = ["refused", "full", "unsent"]
      most         = 3
      wait         = "100ms"
      wait_at_most = "1s"
      jitter       = 0.25
      where        = "other_zone"
    }
    retry {
      on    = ["late", "reset"]
      most  = 1
      wait  = "500ms"
      where = "other_member"
    }
    rerun "prices" {
      when = end == "failed" && try(result.stale, "") == "prices"
      most = 2
    }
    undo {
      class = "hold"
      path  = "/release"
      body  = { seat = item }
      key   = "${input.booking}-${item}-release"
      most  = 3
      wait  = "1s"
    }
  }

  stage "ticket" {
    class = "ticket"
    after = ["hold"]
    path  = "/ticket"
    retry {
      on    = ["refused", "full", "unsent"]
      most  = 2
      wait  = "50ms"
      where = "anywhere"
    }
  }
}
