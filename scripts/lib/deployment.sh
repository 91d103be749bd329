# A small deployment on loopback. Sourced by scripts/quickstart and scripts/measure_instance
# from the repository's root.

bin=build/bin
port_base=${BRAMLEYRAIL_PORT_BASE:-17000}
run_folder=$(mktemp -d)
declare -A process_ids=()
declare -A instance_numbers=([south-a-1]=1 [south-b-1]=2 [north-a-1]=3 [south-a-2]=4)
instances=(south-a-1 south-b-1 north-a-1 south-a-2)
services=(callers watches targets platform operators operator_watches health peers)

say() { printf '\n== %s\n' "$*"; }

fail() {
  printf 'quickstart: %s\n' "$*" >&2
  for log in "$run_folder"/*.log; do
    printf -- '--- last lines of %s\n' "$(basename "$log")" >&2
    tail -n 8 "$log" >&2
  done
  exit 1
}

failure_domain_of() { printf '%s' "${1%-*}"; }
region_of() { printf '%s' "${1%%-*}"; }

# address INSTANCE SERVICE -> IP:port
address() {
  local index
  for index in "${!services[@]}"; do
    [ "${services[$index]}" = "$2" ] && break
  done
  printf '127.0.0.1:%d' $((port_base + 100 * instance_numbers[$1] + index))
}

endpoint() { printf 'http://%s' "$(address "$1" "$2")"; }

write_settings() {
  local name=$1 other service separator=""
  {
    printf '{\n  // Written by scripts/quickstart.\n'
    printf '  "cluster_id": "quickstart",\n  "instance": "%s",\n' "$name"
    printf '  "failure_domain": "%s",\n  "region": "%s",\n' \
      "$(failure_domain_of "$name")" "$(region_of "$name")"
    printf '  "listen": {\n'
    for service in "${services[@]}"; do
      printf '%s    "%s": "%s"' "$separator" "$service" "$(address "$name" "$service")"
      separator=$',\n'
    done
    printf '\n  },\n  "peers": [\n'
    separator=""
    for other in "${instances[@]}"; do
      [ "$other" = "$name" ] && continue
      printf '%s    {"name": "%s", "address": "%s", "failure_domain": "%s", "region": "%s"}' \
        "$separator" "$other" "$(address "$other" peers)" \
        "$(failure_domain_of "$other")" "$(region_of "$other")"
      separator=$',\n'
    done
    printf '\n  ],\n'
    # The fourth instance has no disk and follows the log as an observer.
    [ "$name" = south-a-2 ] || printf '  "data_folder": "%s",\n' "$run_folder/$name.data"
    printf '  "initial_voters": ["south-a-1", "south-b-1", "north-a-1"],\n'
    printf '  "log": {"file": "%s"},\n' "$run_folder/$name.events.log"
    printf '  "balancer_delay_ms": 100\n}\n'
  } >"$run_folder/$name.json"
}

start() {
  local name=$1
  shift
  "$@" >"$run_folder/$name.log" 2>&1 &
  process_ids[$name]=$!
}

join_addresses() {
  local service=$1 joined="" name
  shift
  for name in "$@"; do
    joined+="${joined:+,}$(address "$name" "$service")"
  done
  printf '%s' "$joined"
}

ctl() { "$bin/bramleyctl" --servers="$(join_addresses operators "${instances[@]}")" "$@"; }

# wait_for WHAT CONDITION... polls until the condition holds, for up to 60 s.
wait_for() {
  local what=$1 attempt
  shift
  for attempt in $(seq 600); do
    "$@" && return 0
    check_processes_run
    sleep 0.1
  done
  fail "gave up waiting for $what"
}

check_processes_run() {
  local name
  for name in "${!process_ids[@]}"; do
    kill -0 "${process_ids[$name]}" 2>/dev/null || fail "$name has ended"
  done
}

is_ready() { curl -sf -o /dev/null "$(endpoint "$1" health)/ready"; }

targets_known() {
  local name
  for name in "${instances[@]}"; do
    curl -sf -o /dev/null -X POST -H 'Bramleyrail-Idempotent: true' -d '{}' \
      "$(endpoint "$name" callers)/v1/services/quotes/requests" || return 1
  done
}

job_state_is() { ctl job die-cut-plans | grep -qE "^status.state +$1\$"; }
tasks_running() { ctl job die-cut-plans | grep -qE ' (running|checkpointed) '; }

# send_request INSTANCE ID IDEMPOTENT BODY
send_request() {
  curl -sS --fail-with-body -i -X POST "$(endpoint "$1" callers)/v1/services/quotes/requests" \
    -H "Bramleyrail-Request-Id: $2" -H "Bramleyrail-Idempotent: $3" \
    -H 'Bramleyrail-Caller: sales-desk' -H 'Content-Type: application/json' -d "$4" |
    tr -d '\r' | grep -vE '^(Keep-Alive|Connection):' || fail "request $2 failed"
  printf '\n'
}

# The same while a leader may be missing: as callers are told to, sends the request again
# with its id as long as its outcome is unknown, at most three times.
send_request_until_known() {
  local attempt answer
  for attempt in 1 2 3; do
    answer=$(send_request "$@") && break
    if [ "$attempt" = 3 ] || ! grep -q '"kind":"outcome_unknown"' <<<"$answer"; then
      printf '%s\n' "$answer"
      fail "request $2 failed"
    fi
    echo "the outcome of request $2 is unknown; sending it again"
  done
  printf '%s\n\n' "$answer"
}

check_executions_once() {
  local count
  count=$(cat "$run_folder"/target-*.executions | grep -c -- "$1" || true)
  [ "$count" = 1 ] || fail "request $1 ran $count times"
  printf 'request %s ran once\n' "$1"
}

# check_attempts TASKS: every task has one completion, and no attempt starts before the
# last one ended.
check_attempts() {
  cat "$run_folder"/worker-*.attempts | sort -n >"$run_folder/attempts"
  [ -s "$run_folder/attempts" ] || fail "no attempt was logged"
  awk -v expected_tasks="$1" -f scripts/lib/check_attempts.awk "$run_folder/attempts" ||
    fail "a task was lost or ran twice"
}

kill_instance() {
  kill -KILL "${process_ids[$1]}"
  wait "${process_ids[$1]}" 2>/dev/null || true
  unset "process_ids[$1]"
  instances=("${instances[@]/#$1/}")
  local left=() name
  for name in "${instances[@]}"; do [ -n "$name" ] && left+=("$name"); done
  instances=("${left[@]}")
}

deployment_start() {
  trap deployment_abort EXIT
  say "start four instances, four targets and three workers (files in $run_folder)"
  local name
  for name in "${instances[@]}"; do
    write_settings "$name"
    "$bin/bramleyraild" --settings="$run_folder/$name.json" --check_settings >/dev/null
    start "$name" "$bin/bramleyraild" --settings="$run_folder/$name.json"
  done
  start_target target-1 south-a south-a-1 south-a-2
  start_target target-2 south-a south-a-2 south-a-1
  start_target target-3 south-b south-b-1
  start_target target-4 north-a north-a-1
  start_worker worker-1 south-a south-a-1 south-a-2
  start_worker worker-2 south-b south-b-1
  start_worker worker-3 north-a north-a-1
  for name in "${instances[@]}"; do
    wait_for "$name to be ready" is_ready "$name"
  done
}

start_target() {
  local name=$1 domain=$2
  shift 2
  start "$name" "$bin/stand_in_target" --name="$name" --service=quotes --failure_domain="$domain" \
    --instances="$(join_addresses targets "$@")" \
    --execution_file="$run_folder/$name.executions" \
    --connections="${target_connections:-64}"
}

start_worker() {
  local name=$1 domain=$2
  shift 2
  start "$name" "$bin/stand_in_worker" --name="$name" --failure_domain="$domain" \
    --rack="$domain-rack-1" --addresses="$(join_addresses platform "$@")" \
    --attempt_log="$run_folder/$name.attempts"
}

# Stops the process with SIGTERM and expects exit code 0 within 40 s.
stop_process() {
  local name=$1 code=0
  kill -TERM "${process_ids[$name]}"
  wait "${process_ids[$name]}" || code=$?
  unset "process_ids[$name]"
  [ "$code" = 0 ] || fail "$name ended with exit code $code"
}

deployment_stop() {
  say "planned stop of targets, workers and instances"
  local name
  for name in "${!process_ids[@]}"; do
    case $name in target-* | worker-*) stop_process "$name" ;; esac
  done
  for name in "${instances[@]}"; do
    stop_process "$name"
  done
  trap - EXIT
  rm -rf "$run_folder"
}

deployment_abort() {
  local name
  for name in "${!process_ids[@]}"; do
    kill -KILL "${process_ids[$name]}" 2>/dev/null || true
  done
  printf 'quickstart: files are kept in %s\n' "$run_folder" >&2
}
