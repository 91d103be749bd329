# Reads attempt logs sorted by time: TIME_MS start|end WORKER BOOT_ID TASK_ID ATTEMPT STATE.
# Fails when a task starts while an attempt of it runs, with an attempt number that is not
# newer, or completes more than once.
$2 == "start" {
  if ($5 in running) { print "task " $5 " runs in two places: " $0; faults++ }
  if ($6 <= newest[$5]) { print "old attempt started: " $0; faults++ }
  newest[$5] = $6
  running[$5] = 1
  starts++
}
$2 == "end" {
  delete running[$5]
  if ($7 == "completed" && ++completions[$5] > 1) { print "completed twice: " $0; faults++ }
}
END {
  for (task in completions) tasks++
  if (tasks != expected_tasks) { print "expected " expected_tasks " completed tasks"; faults++ }
  print starts " attempts started, " tasks " tasks completed, " faults + 0 " faults"
  exit faults > 0
}
