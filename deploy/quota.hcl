# Which teams are divided over several shares, each with an owner of its own: docs/quota.md. Read by a controller whose
# environment names this file in FIELDFIELD_QUOTA; in force once every controller reads it. `team = "*"` names every team
# that no earlier entry names; `shares` goes from 1 (undivided) to the number of shares that there are, 16 at most.
gather_s = 20

divide = (
  { team = "*", shares = 2 }
)
