# During bursts one controller is killed and restarted, one is paused past its lease, and one loses the state service.
what = "controllers are killed, paused and cut off from the state service during bursts"
controllers = 3
machines = 16
starved_most = 12.0
jobs_end_within = 120.0
teams = (
  { name = "red", guarantee = 4, limit = 12, shares = 3 },
  { name = "blue", guarantee = 4, limit = 12, shares = 3 }
)
steps = (
  { at = 0, action = "burst", team = "red", count = 24 },
  { at = 1, action = "end", controller = 1 },
  { at = 1.3, action = "begin", controller = 1 },
  { at = 4, action = "burst", team = "blue", count = 12 },
  { at = 5, action = "stop", controller = 2 },
  { at = 11, action = "continue", controller = 2 },
  { at = 12, action = "burst", team = "red", count = 12 },
  { at = 12.5, action = "cut", controller = 0 },
  { at = 19, action = "heal", controller = 0 }
)
