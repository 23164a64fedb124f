# Every command with starts reaches its worker once more, up to two leases later, while controllers are killed and restarted.
what = "late copies of answered commands while controllers restart within a second"
controllers = 3
machines = 16
starved_most = 12.0
jobs_end_within = 90.0
command_copies_within = 8.0
teams = (
  { name = "red", guarantee = 4, limit = 12 },
  { name = "blue", guarantee = 4, limit = 12 }
)
steps = (
  { at = 0, action = "flood", team = "red", count = 60 },
  { at = 2, action = "burst", team = "blue", count = 12 },
  { at = 4, action = "end", team = "red" },
  { at = 4.5, action = "begin", team = "red" },
  { at = 6, action = "flood", team = "blue", count = 60 },
  { at = 9, action = "end", team = "blue" },
  { at = 9.5, action = "begin", team = "blue" },
  { at = 12, action = "burst", team = "red", count = 24 },
  { at = 16, action = "flood", team = "blue", count = 30 }
)
