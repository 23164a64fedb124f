# The owner of a team's first share is killed while 2,000 jobs of the team wait.
what = "an owner is killed while 2,000 jobs of its team wait"
controllers = 3
machines = 16
starved_most = 12.0
jobs_end_within = 240.0
teams = (
  { name = "red", guarantee = 4, limit = 24, shares = 3 }
)
steps = (
  { at = 0, action = "flood", team = "red", count = 2000 },
  { at = 1, action = "end", team = "red" },
  { at = 8, action = "begin", team = "red" }
)
