# A booking of the soak: its ticket must never run twice, and its hold is released
# when it gives up. The sid of each job is what it is for, over all its attempts.
plan "booking" {
  within   = "6m"
  attempts = 40
  stage "hold" {
    class = "place-hold"
    path  = "/place-hold?sid=${segment(input.booking)}-hold"
    key   = "${input.booking}-hold"
    retry {
      on   = ["refused", "full", "unsent", "late", "failed", "reset"]
      most = 4
      wait = "50ms"
    }
    undo {
      class = "place-hold"
      path  = "/place-hold?sid=${segment(input.booking)}-release"
      key   = "${input.booking}-release"
      most  = 2
      wait  = "100ms"
    }
  }
  stage "ticket" {
    class = "group-ticket"
    after = ["hold"]
    path  = "/group-ticket?sid=${segment(input.booking)}"
    retry {
      on   = ["refused", "full", "unsent"]
      most = 4
      wait = "50ms"
    }
  }
}
