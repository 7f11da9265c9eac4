# Plans of the tours. Check: basaltloft config check --config CONFIGURATION deploy/plans-example.hcl
# The classes are the configuration's: place-hold (deduplicated, its keys hold in a
# cell for 15s), group-ticket (at most once), send-notice (idempotent).

# A coach of up to fifty seats: its price list, its seats, one ticket for the group,
# and a notice. input: booking, tour, seats (a list of numbers), email.
plan "coach" {
  within   = "10m" # the one final answer comes by then, whatever happens
  attempts = 700  # retries, reruns and undos included

  # One run of the price list serves every plan of the tour for half a minute.
  stage "prices" {
    class      = "send-notice"
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
    class    = "place-hold"
    after    = ["prices"]
    each     = input.seats
    most     = 50
    at_least = 40 # a coach with forty seats goes
    path     = "/hold"
    body     = { seat = item, price = prices.list.seat, version = prices.version }
    key      = "${input.booking}-${item}" # the same at each run
    cost     = "750ms"

    retry { # it never ran: soon, anywhere
      on           = ["refused", "full", "unsent"]
      most         = 3
      wait         = "100ms"
      wait_at_most = "1s"
      jitter       = 0.5
    }
    retry { # it may have run: the key makes that harmless
      on    = ["late", "reset"]
      most  = 1
      wait  = "500ms"
      where = "other_member"
    }
    rerun "prices" { # the member says that the list it was given has gone stale
      when = end == "failed" && try(result.stale, "") == "prices"
      most = 1
    }
    undo {
      class = "place-hold"
      path  = "/release"
      body  = { seat = item }
      key   = "${input.booking}-${item}-release"
      most  = 3
      wait  = "1s"
    }
  }

  # Never twice: only what proves that it did not run is tried again.
  stage "ticket" {
    class = "group-ticket"
    after = ["hold"]
    path  = "/ticket"
    body  = { booking = input.booking, holds = present(hold), price = prices.list.group }
    cost  = "3s"
    retry {
      on           = ["refused", "full", "unsent"]
      most         = 2
      wait         = "250ms"
      wait_at_most = "2s"
      jitter       = 0.5
    }
  }

  stage "notice" {
    class = "send-notice"
    after = ["ticket"]
    path  = "/notice"
    body  = { to = input.email, ticket = ticket.number, seats = length(present(hold)) }
    retry {
      on     = ["refused", "full", "unsent", "late", "failed", "reset"]
      most   = 2
      wait   = "1s"
      jitter = 0.5
    }
  }
}
