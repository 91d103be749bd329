# Shared by the scripts of review/6 to review/10: starts a small deployment on
# loopback addresses, and stops what it started. To be sourced from a case's
# run.sh after `set -uo pipefail`.
#
# Three control instances and one gateway of the project, with the commands of
# deploy/system.toml and its settings template, and executors of this folder.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
program=$top/target/bin/bramleyraild
stand_ins=$top/target/review-2
folder=$(mktemp -d)
record=$folder/record
# A block of loopback addresses of this run, so that several runs do not meet.
network=127.$((64 + $$ % 128)).$(($$ / 128 % 250))
control_port=$((20000 + $$ % 8000))
peer_port=$((control_port + 1))
caller_port=$((control_port + 2))
ready_port=$((control_port + 3))
executor_port=$((control_port + 4))
zones=(zone-1 zone-2 zone-3)
seeds=("$network.1:$control_port" "$network.2:$control_port" "$network.3:$control_port")
gateway=$network.4:$caller_port
declare -A process_ids=()
: >"$record"

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$record"; }

finish() {
  local name
  exec 2>/dev/null  # Reports of the shell on the processes that end here.
  for name in "${!process_ids[@]}"; do
    kill -CONT "${process_ids[$name]}" 2>/dev/null
    kill -KILL "${process_ids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  sort -n -s -k1,1 "$record" >"$case_folder/record.txt"
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
}

give_up() {
  note "harness the case could not run: $*"
  echo "could not run: $*"
  exit 2
}

# Fills in the settings template as the platform does. name role address zone
write_settings() {
  local name=$1 role=$2 ip=$3 zone=$4 control='' caller='' ready='' data=''
  if [ "$role" = control ]; then
    control=$ip:$control_port data=$folder/data-$name
  else
    caller=$ip:$caller_port ready=$ip:$ready_port
  fi
  sed -e "s/{{role|json}}/\"$role\"/" -e "s/{{node_name|json}}/\"$name\"/" \
    -e "s/{{ip|json}}/\"$ip\"/" -e "s/{{zone|json}}/\"$zone\"/" \
    -e 's/{{region|json}}/"region-1"/' \
    -e 's/{{zones|json}}/{"zone-1":"region-1","zone-2":"region-1","zone-3":"region-1"}/' \
    -e "s/{{listen_addrs.control}}/$control/" \
    -e "s/{{listen_addrs.frontend}}/$caller/" -e "s/{{listen_addrs.ready}}/$ready/" \
    -e "s/{{internal_ports.0}}/$peer_port/" \
    -e "s/{{seeds|json}}/[\"${seeds[0]}\",\"${seeds[1]}\",\"${seeds[2]}\"]/" \
    -e "s#{{data_dir}}#$data#" -e 's/{{bootstrap|json}}/true/' \
    -e 's/{{bounds.hold_max_ms}}/6000/' -e 's/{{bounds.grace_s}}/6/' \
    -e 's/{{bounds.status_s}}/120/' -e 's/{{fault_tolerance.machines}}/1/' \
    -e 's/{{limits.max_fds}}/4096/' \
    "$top/deploy/settings.json.template" >"$folder/$name.json"
}

start_instance() {
  "$program" --settings="$folder/$1.json" >>"$folder/$1.log" 2>&1 &
  process_ids[$1]=$!
}

# name address zone [id [further options]]
start_executor() {
  local name=$1 ip=$2 zone=$3 id=${4:-$1}
  "$stand_ins/executor" --id="$id" --address="$ip:$executor_port" \
    --service="$service" --zone="$zone" --rack="rack-$zone" \
    --control="${seeds[0]},${seeds[1]},${seeds[2]}" --record="$record" \
    "${@:5}" >>"$folder/$name.log" 2>&1 &
  process_ids[$name]=$!
}

# Kills a process that this run started, without notice.
crash() {
  note "platform crash of $1"
  kill -KILL "${process_ids[$1]}"
  wait "${process_ids[$1]}" 2>/dev/null
  unset "process_ids[$1]"
}

# METHOD ADDRESS PATH [HOST [BODY]]; sets `status` and `body`. A call takes at most
# 4 s, so that a case ends within 120 s.
call() {
  local answer
  [ "$SECONDS" -lt 110 ] || give_up "out of time"
  answer=$("$stand_ins/http_call" "$@")
  status=${answer%% *}
  body=${answer#* }
}

# The same, repeated until the status is 2xx, for at most 10 s; recorded.
call_until_accepted() {
  local who=$1 tries
  shift
  for ((tries = 0; tries < 40; ++tries)); do
    call "$@"
    note "$who $1 $3 -> $status"
    [ "${status:0:1}" = 2 ] && return 0
    sleep 0.25
  done
  give_up "no acknowledgement of $1 $3"
}

service=svc-one
queue_host=queue.example
queue_prefix=/queue/

configuration() {
  cat <<CONFIGURATION
{"version":$1,"routes":[{"name":"route-1","host":"$queue_host","path_prefix":"$queue_prefix","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"$service","max_attempts":3,"stretch_factor":2.0,"allowed_regions":[]}],"services":[{"name":"$service","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"admission_check":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
CONFIGURATION
}

# Starts the instances and stores the first configuration.
start_system() {
  [ -x "$program" ] || give_up "target/bin/bramleyraild is not built"
  [ -x "$stand_ins/executor" ] || give_up "review/build-2.sh has not run"
  local number
  for number in 1 2 3; do
    write_settings "control-$number" control "$network.$number" "zone-$number"
    start_instance "control-$number"
  done
  write_settings gateway-1 gateway "$network.4" zone-1
  start_instance gateway-1
  call_until_accepted operator PUT "${seeds[0]}" /config "" "$(configuration 1)"
}

# The number of a zone in which the leader is not. Only places executors: links
# lose packets between zones.
zone_without_leader() {
  local number
  for number in 1 2 3; do
    if grep -q "name=leadership_taken" "$folder/control-$number.log"; then
      echo "zone-$((number % 3 + 1))"
      return
    fi
  done
  give_up "no control instance leads"
}

# id body
submit() { call_until_accepted client POST "$gateway" "$queue_prefix$1" "$queue_host" "$2"; }

# Reads a job's state; sets `state` to it, or to the status of another answer.
read_state() {
  call GET "$gateway" "$queue_prefix$1" "$queue_host"
  state=$status
  if [[ $status = 200 && $body =~ \"state\":\"([a-z]+)\" ]]; then state=${BASH_REMATCH[1]}; fi
}

# Waits until the record has a line that matches the pattern. pattern seconds
wait_for() {
  local tries
  for ((tries = 0; tries < $2 * 20; ++tries)); do
    grep -qE "$1" "$record" && return 0
    sleep 0.05
  done
  return 1
}

# An executor behind a proxy that can cut it off from every process of the
# system. The proxy has the executor's address, and relays its heartbeats.
# number zone [further options of the executor]
start_executor_behind_proxy() {
  local ip=$network.1$1 inner=$network.2$1 pairs=() position
  pairs=("$ip:$executor_port=$inner:$executor_port")
  for position in 0 1 2; do
    pairs+=("$inner:$((executor_port + 1 + position))=${seeds[$position]}")
  done
  "$stand_ins/proxy" "${proxy_options[@]}" "${pairs[@]}" >>"$folder/proxy-$1.log" 2>&1 &
  process_ids[proxy-$1]=$!
  sleep 0.1
  start_executor_process "$@"
}

proxy_options=()

# The executor alone, as after a crash.
start_executor_process() {
  local ip=$network.1$1 inner=$network.2$1 control=() position
  for position in 0 1 2; do
    control+=("$inner:$((executor_port + 1 + position))")
  done
  "$stand_ins/executor" --id="executor-$1" --address="$ip:$executor_port" \
    --listen="$inner:$executor_port" --service="$service" --zone="$2" --rack="rack-$2" \
    --control="${control[0]},${control[1]},${control[2]}" --record="$record" \
    "${@:3}" >>"$folder/executor-$1.log" 2>&1 &
  process_ids[executor-$1]=$!
}

begin_cut() {
  note "platform begin of a cut with resets of executor-$1"
  kill -USR1 "${process_ids[proxy-$1]}"
}

end_cut() {
  note "platform end of the cut of executor-$1"
  kill -USR2 "${process_ids[proxy-$1]}"
}
