# Shared by the cases in which a heartbeat of another writer arrives while an
# executor works on a task. A case defines send_heartbeat(), which gets the
# executor's id and address, and calls run_heartbeat_case().
# To be sourced after deployment.sh.

# Starts four executors and a job with one task, lets another writer send its
# heartbeat, and checks that the task never runs twice at the same time.
run_heartbeat_case() {
  local number second holder job=5c0e7a21d94b36f8 state='' overlap
  start_system
  for number in 1 2 3 4; do
    start_executor "executor-$number" "$network.1$number" "zone-$((number % 3 + 1))"
  done
  for number in 1 2 3 4; do
    wait_for "executor executor-$number up" 5 || give_up "executor $number did not start"
  done
  sleep 3

  submit "$job" '{"spec":"work_ms=15000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":15000}]}'
  wait_for "start $job" 10 || give_up "the task did not start"
  holder=$(grep -m1 "start $job" "$record" | cut -d' ' -f3)
  sleep 1
  if [ "${TROUBLE:-1}" != 0 ]; then
    send_heartbeat "$holder" "$network.1${holder#executor-}:$executor_port"
  fi

  # Long enough for the job to end, whether its task is started again or not.
  for ((second = 0; second < 40; ++second)); do
    read_state "$job"
    [ "$state" = completed ] && break
    sleep 1
  done
  note "client GET $job -> $state"

  # A run ends when it is listed as ended; the executors stay up all the while.
  overlap=$(sort -n -s -k1,1 "$record" | awk -v job="$job" '
    $2 == "executor" && ($4 == "start" || $4 == "end") && index($5, job) == 1 {
      if ($4 == "end") { delete at[$5, $7, $3]; next }
      for (key in at) {
        split(key, part, SUBSEP)
        if (part[1] == $5) print $5 " run " $7 " starts on " $3 " at " $1 " while run " part[2] " is on " part[3]
      }
      at[$5, $7, $3] = 1
    }')
  if [ -n "$overlap" ]; then
    note "check TWICE is broken: $overlap"
    echo "TWICE: $overlap"
    exit 1
  fi
  [ "$state" = completed ] || give_up "the job did not complete: $state"
  note "check TWICE holds"
  echo "held"
  exit 0
}
