# Checks the rows of an experiment and summarizes them:
#
#   awk -f src/testsuite/summarize.awk rows.csv                                   Markdown table, median and range
#   awk -v deployment=quiroga -v figure=p99_ms -f src/testsuite/summarize.awk rows.csv    input of plot.gnuplot
#
# Rows have the columns deployment, scenario, variant and pair, and one number for each figure that the first line
# names. Any other row is refused with its line number. The input of plot.gnuplot has one line for each scenario: its
# name, then the median, the least and the greatest value of the naive variant, and the same of the policy. "?" stands
# for the values of a variant without rows.

function refuse(message) {
  print FILENAME ":" NR ": " message > "/dev/stderr"
  failed = 1
  exit 1
}

# Sets `median`, `least` and `greatest` of a figure over all pairs. `key` is "deployment,scenario,variant".
function summarize(key, column, list, count, i, j, value) {
  count = runs[key]
  for (i = 1; i <= count; ++i) {
    value = values[key, column, i] + 0
    for (j = i - 1; j > 0 && list[j] > value; --j) list[j + 1] = list[j]
    list[j + 1] = value
  }
  least = list[1]
  greatest = list[count]
  median = count % 2 ? list[(count + 1) / 2] : (list[count / 2] + list[count / 2 + 1]) / 2
}

function format_cell(key, column) {
  summarize(key, column)
  return least == greatest ? median "" : median " (" least " to " greatest ")"
}

function format_plot_fields(key) {
  if (!(key in runs)) return "? ? ?"
  summarize(key, figure_column)
  return median " " least " " greatest
}

BEGIN { FS = "," }

NR == 1 {
  if ($1 "," $2 "," $3 "," $4 != "deployment,scenario,variant,pair" || NF < 5) {
    refuse("the first line is not deployment,scenario,variant,pair and the names of figures")
  }
  for (i = 5; i <= NF; ++i) {
    if ($i !~ /^[a-z][a-z0-9_]*$/) refuse("\"" $i "\" does not name a figure")
    name[i] = $i
    if ($i == figure) figure_column = i
  }
  if (figure != "" && !figure_column) refuse("no column \"" figure "\"")
  columns = NF
  next
}

{
  if (NF != columns) refuse(NF " fields in place of " columns)
  for (i = 1; i <= 3; ++i) if ($i !~ /^[a-z][a-z0-9_-]*$/) refuse("\"" $i "\" is not a name")
  if ($4 !~ /^[1-9][0-9]*$/) refuse("\"" $4 "\" is not the number of a pair")
  for (i = 5; i <= NF; ++i) {
    if ($i !~ /^-?[0-9]+(\.[0-9]+)?(e[-+]?[0-9]+)?$/) refuse("\"" $i "\" is not a number for " name[i])
  }
  if (($1, $2, $3, $4) in seen) refuse("a second row of " $1 " " $2 " " $3 " " $4)
  seen[$1, $2, $3, $4] = 1
  key = $1 "," $2 "," $3
  if (!(key in runs)) order[++keys] = key
  ++runs[key]
  for (i = 5; i <= NF; ++i) values[key, i, runs[key]] = $i
  if ($1 == deployment && !(($1, $2) in scenario_seen)) {
    scenario_seen[$1, $2] = 1
    scenarios[++scenario_count] = $2
  }
}

END {
  if (failed) exit 1
  if (!keys) refuse("no rows")
  if (figure != "") {
    if (!scenario_count) refuse("no rows of deployment \"" deployment "\"")
    for (k = 1; k <= scenario_count; ++k) {
      key = deployment "," scenarios[k] ","
      print scenarios[k], format_plot_fields(key "naive"), format_plot_fields(key "policy")
    }
    exit 0
  }
  printf "| deployment | scenario | variant | runs |"
  for (i = 5; i <= columns; ++i) printf " %s |", name[i]
  printf "\n|"
  for (i = 1; i <= columns; ++i) printf "---|"
  print ""
  for (k = 1; k <= keys; ++k) {
    split(order[k], part, ",")
    printf "| %s | %s | %s | %d |", part[1], part[2], part[3], runs[order[k]]
    for (i = 5; i <= columns; ++i) printf " %s |", format_cell(order[k], i)
    print ""
  }
}
