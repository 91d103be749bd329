#!/usr/bin/env bash
# An executor that is slow to answer a start crashes and starts again under its
# id, while the end of its connections is on its way. See claim.txt.
#   TROUBLE=0 review/9/run.sh      the same without the crash
# Exits with 1 if a task ran twice at the same time, 0 if not, 2 if the case
# could not run. Writes record.txt beside this file.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/stand_ins_2/deployment.sh
. "$case_folder/../stand_ins_2/deployment.sh"
trap finish EXIT
proxy_options=(--end_delay_ms=200)

start_system
other_zone=$(zone_without_leader) || exit 2
# The tasks require the kind b, which two of eight executors have.
for number in 1 2 3 4 5 6 7 8; do
  kind=a zone=zone-$((number % 3 + 1))
  [ "$number" -le 2 ] && kind=b zone=$other_zone
  start_executor_behind_proxy "$number" "$zone" "--kind=$kind"
done
for number in 1 2 3 4 5 6 7 8; do
  wait_for "executor executor-$number up" 5 || give_up "executor $number did not start"
done
sleep 3

# Opens connections to the executors.
submit 0000000000000001 '{"spec":"work_ms=300","steps":[{"count":16,"cpu":500,"mem_mb":64,"estimate_ms":300,"requires":"b"}]}'
sleep 2

job=5c0e7a21d94b36f8
submit "$job" '{"spec":"work_ms=15000 answer_ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":15000,"requires":"b"}]}'
# A short task on each of the two ends soon, so that the lists are read.
submit 0000000000000002 '{"spec":"work_ms=100","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":100,"requires":"b","anti_affinity":1}]}'
wait_for "start $job.0.0.0 run 1 " 10 || give_up "the task did not start"
holder=$(grep "start $job.0.0.0 run 1 " "$record" | head -n 1 | cut -d' ' -f3)
number=${holder#executor-}
if [ "${TROUBLE:-1}" != 0 ]; then
  wait_for "executor $holder listed $job.0.0.0 run 1" 2 || give_up "the run was not listed"
  crash "$holder"
  sleep 0.1
  start_executor_process "$number" "$other_zone" --kind=b
fi

for ((second = 0; second < 50; ++second)); do
  read_state "$job"
  [ "$state" = completed ] && break
  sleep 1
done
note "client GET $job -> $state"

# A run ends when it is listed as ended, or with its executor.
overlap=$(sort -n -s -k1,1 "$record" | awk -v job="$job" '
  $2 == "platform" && $3 == "crash" {
    for (key in at) { split(key, part, SUBSEP); if (part[3] == $5) delete at[key] }
  }
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
