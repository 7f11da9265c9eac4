# Plans of the archive. Check: basaltloft config check --config CONFIGURATION deploy/plans-archive-example.hcl
# Its classes: preview (idempotent), credit (at most once), correction (deduplicated
# everywhere).

# A reading: a preview of the page, a quote on it, one credit taken, and the page
# marked as read. input: reader, page, order. A credit taken for nothing is corrected.
plan "reading" {
  within   = "7m"
  attempts = 30

  stage "preview" {
    class = "preview"
    path  = "/preview/${segment(input.page)}"
    retry {
      on           = ["refused", "full", "unsent", "late", "failed", "reset"]
      most         = 2
      wait         = "100ms"
      wait_at_most = "1s"
      jitter       = 0.5
      where        = "other_zone"
    }
  }

  # A preview is kept by the member that made it. Whoever finds it gone says so here,
  # before the credit is taken: after that nothing may run the credit again.
  stage "quote" {
    class = "preview"
    after = ["preview"]
    path  = "/quote"
    body  = { preview = preview.id, reader = input.reader }
    retry {
      on   = ["refused", "full", "unsent", "late", "reset"]
      most = 2
      wait = "100ms"
    }
    rerun "preview" {
      when = end == "failed" && try(result.lost, "") == "preview"
      most = 2
    }
  }

  stage "credit" {
    class = "credit"
    after = ["quote"]
    path  = "/credit"
    body  = { reader = input.reader, order = input.order, price = quote.price }
    retry {
      on   = ["refused", "full", "unsent"]
      most = 2
      wait = "500ms"
    }
    undo { # the plan gives up after the credit, or when nobody knows of it
      class = "correction"
      path  = "/correction"
      body  = { order = input.order }
      key   = "correction-${input.order}"
      most  = 3
      wait  = "2s"
    }
  }

  stage "mark" {
    class = "correction"
    after = ["credit"]
    path  = "/mark"
    body  = { page = input.page, credit = credit.number }
    key   = "mark-${input.order}"
    retry {
      on   = ["refused", "full", "unsent", "late", "reset"]
      most = 1
      wait = "1s"
    }
  }
}
