# Jobs of one team, far more than its limit allows, are submitted to every controller within one second.
what = "a burst of one team's jobs at every controller"
controllers = 3
machines = 16
starved_most = 12.0
jobs_end_within = 90.0
teams = (
  { name = "red", guarantee = 4, limit = 12, shares = 3 },
  { name = "blue", guarantee = 4, limit = 12, shares = 3 }
)
steps = (
  { at = 0, action = "burst", team = "red", count = 36 },
  { at = 4, action = "burst", team = "blue", count = 12 }
)
