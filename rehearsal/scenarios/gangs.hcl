# Two gangs that each need more than half of the team's limit compete with a flood of one-task jobs.
what = "two gangs of more than half of the limit, and a flood of one-task jobs"
controllers = 3
machines = 16
starved_most = 12.0
jobs_end_within = 120.0
teams = (
  { name = "red", guarantee = 4, limit = 12, shares = 3 }
)
steps = (
  { at = 0, action = "burst", team = "red", count = 12 },
  { at = 0.5, action = "gang", team = "red", count = 8 },
  { at = 0.6, action = "gang", team = "red", count = 7 },
  { at = 1, action = "flood", team = "red", count = 100 }
)
