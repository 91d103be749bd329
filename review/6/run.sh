#!/usr/bin/env bash
# Two executors in succession are cut off, with resets, while they work on a
# job's only task. See claim.txt.
#   TROUBLE=0 review/6/run.sh      the same without the cuts
# Exits with 1 if the job is shown as failed although its task has not, 0 if not,
# 2 if the case could not run. Writes record.txt beside this file.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/stand_ins_2/deployment.sh
. "$case_folder/../stand_ins_2/deployment.sh"
trap finish EXIT

start_system
# One cut at a time is an eighth of them; the site's limit is a share of 0.17.
for number in 1 2 3 4 5 6 7 8; do
  start_executor_behind_proxy "$number" "zone-$((number % 3 + 1))"
done
for number in 1 2 3 4 5 6 7 8; do
  wait_for "executor executor-$number up" 5 || give_up "executor $number did not start"
done
sleep 2

job=5c0e7a21d94b36f8
submit "$job" '{"spec":"work_ms=20000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":20000}]}'

for run in 1 2; do
  wait_for "start $job.0.0.0 run $run " 15 || give_up "run $run did not start"
  holder=$(grep "start $job.0.0.0 run $run " "$record" | head -n 1 | cut -d' ' -f3)
  [ "${TROUBLE:-1}" = 0 ] && break
  sleep 1
  begin_cut "${holder#executor-}"
  sleep 6
  end_cut "${holder#executor-}"
  read_state "$job"
  [ "$state" = failed ] && break
done

for ((second = 0; second < 40; ++second)); do
  read_state "$job"
  [ "$state" = completed ] || [ "$state" = failed ] && break
  sleep 1
done
note "client GET $job -> $state"

failed_ends=$(grep -cE "end $job.0.0.0 run [0-9]+ failed" "$record")
if [ "$state" = failed ] && [ "$failed_ends" -lt 3 ]; then
  note "check LOST is broken: the job is failed, $failed_ends ends failed, max_attempts is 3"
  echo "LOST: $job is shown as failed, and $failed_ends of its runs have ended failed"
  exit 1
fi
[ "$state" = completed ] || give_up "the job is $state"
note "check LOST holds"
echo "held"
exit 0
