#!/usr/bin/env bash
# Measures what an idle entry daemon costs against the number of workers of its data centre.
# Usage: demo/capacity.sh [ROUNDS] [SECONDS] [WORKERS[:TASKS]...]   (default: 3 20 8 80 800)
# Each point starts one platform, one process with the workers and two entry daemons on loopback, and prints one
# line for each daemon. Bytes are payload bytes of TCP from ss, sampled every second. With TASKS, so many jobs of one
# task run during the sample. ENTRIES=N starts N daemons, UPSTREAMS=N adds upstreams, BASE_PORT sets the first port.
# SPREAD=1 gives each daemon a data centre of its own; only the first has workers.
set -euo pipefail
cd "$(dirname "$0")/.."

rounds=${1:-3}
seconds=${2:-20}
shift $(($# < 2 ? $# : 2))
points=("$@")
[ ${#points[@]} -gt 0 ] || points=(8 80 800)
upstreams=${UPSTREAMS:-0}
entries=${ENTRIES:-2}
[ "$entries" -ge 1 ] && [ "$entries" -le 40 ] || { echo "ENTRIES must be from 1 to 40" >&2; exit 2; }
base=${BASE_PORT:-21000}
# With auth off the token names the role.
operator="authorization: Bearer operator:capacity"
bin=target/release
logs=demo/run-capacity-$base
mkdir -p "$logs"

pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    # A planned stop waits for the lag of the balancer; 10 s is above that.
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap stop_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

wait_for() { # what, command...
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "not ready in 30 s: $what" >&2
  exit 1
}

centre() { # index
  if [ "${SPREAD:-0}" = 1 ] && [ "$1" -gt 1 ]; then echo "cap-$1"; else echo cap; fi
}

settings() { # index
  local other
  cat <<YAML
vm: cap-$1
data_centre: $(centre "$1")
http_listen: 127.0.0.1:$((base + 10 + $1))
peer_listen: 127.0.0.1:$((base + 50 + $1))
platform: 127.0.0.1:$base
entry_vms: $entries
services: [booking]
owners: [north-trusts]
auth: off
log_level: info
peers:
YAML
  for other in $(seq "$entries"); do
    [ "$other" -eq "$1" ] && continue
    echo "  - {name: cap-$other, data_centre: $(centre "$other"), address: '127.0.0.1:$((base + 50 + other))'}"
  done
}

joined() { # workers
  # Only the daemon that holds the placement lease reports workers as joined.
  local count
  count=$({ curl -s -H "$operator" "127.0.0.1:[$((base + 11))-$((base + 10 + entries))]/v1/operator/workers" || true; } | { grep -o '"joined":true' || true; } | wc -l)
  [ "$count" -ge "$1" ]
}

# Gives an account a configuration and submits jobs of one task that outlast the sample.
submit() { # jobs
  local entry="127.0.0.1:$((base + 10 + entries))" proposal
  proposal=$(curl -sS --fail-with-body -H "$operator" -H 'content-type: application/json' -d '{"account": "load",
    "owner": "north-trusts", "home_data_centre": "cap", "small_jobs_at_once": 1, "peak_queue": 10000,
    "importance": "normal"}' "$entry/v1/operator/questionnaires" | sed -E 's/.*"proposal":"([^"]*)".*/\1/')
  curl -sS --fail-with-body -o /dev/null -X POST -H "authorization: Bearer owner:north-trusts" \
    "$entry/v1/operator/proposals/$proposal/accept"
  sleep 2 # Until the configuration is in force.
  # 50 a second stay below the share of the daemon in the writes of the platform.
  curl -sS --fail --rate 50/s -o /dev/null -H "authorization: Bearer account:load" \
    -H 'content-type: application/json' -d '{"shape": {"tasks": 1, "accelerators": 0, "cores": 4,
    "memory_mib": 1024, "adjacency": "task"}, "idempotent": true, "payload": "{\"run_ms\": 600000}"}' \
    "$entry/v1/jobs?n=[1-$1]"
}

# Processor time of all threads in milliseconds.
processor_ms() { cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%.1f", sum / 1e6 }'; }
# Resident memory in KiB.
resident_kib() { awk '/^VmRSS/ { print $2 }' /proc/"$1"/status; }
stats() { curl -sf "127.0.0.1:$base/control/stats" | sed -E 's/.*"reads":([0-9]+),"writes":([0-9]+).*/\1 \2/'; }

# Prints "connection sent received" for each connection of a process.
connections() {
  ss -tinpHO state established | grep "pid=$1," | awk '{
    sent = 0; received = 0
    for (i = 1; i <= NF; i++) {
      if ($i ~ /^bytes_sent:/) sent = substr($i, 12)
      if ($i ~ /^bytes_received:/) received = substr($i, 16)
    }
    print $3, $4, sent, received }'
}

# Sums the growth of connections over samples, by the side that they lead to.
bytes_by_kind() { # samples file, seconds
  awk -v base="$base" -v seconds="$2" '
    /^sample/ { n++; next }
    {
      key = $1 " " $2
      sub(/.*:/, "", $1); sub(/.*:/, "", $2)
      kind = "workers"
      if ($2 == base) kind = "platform"
      else if (($1 > base + 50 && $1 < base + 100) || ($2 > base + 50 && $2 < base + 100)) kind = "peers"
      else if ($1 > base + 10 && $1 < base + 51) kind = "api"
      total = $3 + $4
      # A connection that is new after the first sample counts from zero.
      if (n > 1) grown[kind] += total - last[key]
      last[key] = total
    }
    END { printf "%.0f %.0f %.0f", grown["workers"] / seconds, grown["platform"] / seconds, grown["peers"] / seconds }' "$1"
}

point() { # round, workers, tasks
  start platform "$bin/standin" platform --port "$base" --vm-lag-ms 500
  wait_for platform curl -sf "127.0.0.1:$base/control/stats"
  start workers "$bin/standin" workers --count "$2" --data-centre cap --rack-size 8 --cores 64 \
    --memory-mib 262144 --accelerators 8 --platform "127.0.0.1:$base"
  if [ "$upstreams" -gt 0 ]; then
    start upstreams "$bin/standin" upstreams --count "$upstreams" --data-centre cap --service booking \
      --slots 8 --connections 64 --platform "127.0.0.1:$base"
  fi
  local i first=${#pids[@]} pid role before after began ended
  for i in $(seq "$entries"); do
    settings "$i" >"$logs/cap-$i.yaml"
    start "cap-$i" "$bin/arbutuspick" entry --settings "$logs/cap-$i.yaml"
    wait_for "cap-$i" curl -sf "127.0.0.1:$((base + 10 + i))/readyz"
  done
  wait_for "$2 workers joined" joined "$2"
  sleep 5 # Past the first probes and the first lists.
  if [ "$3" -gt 0 ]; then
    submit "$3"
    sleep 27 # The heartbeats of a worker reach their longest interval 24 s after its last start.
  fi
  local daemons=("${pids[@]:first:entries}") processor=() last=$((entries - 1))
  for i in $(seq 0 "$last"); do : >"$logs/samples-$i"; processor+=("$(processor_ms "${daemons[i]}")"); done
  before=($(stats))
  began=$(date +%s.%N)
  for _ in $(seq 0 "$seconds"); do
    for i in $(seq 0 "$last"); do { echo sample; connections "${daemons[i]}"; } >>"$logs/samples-$i"; done
    sleep 1
  done
  ended=$(date +%s.%N)
  after=($(stats))
  local span running
  running=$(curl -s -H "$operator" "127.0.0.1:[$((base + 11))-$((base + 10 + entries))]/debug/state" |
    { grep -o '"state":"running"' || true; } | wc -l)
  span=$(awk -v a="$began" -v b="$ended" 'BEGIN { print b - a }')
  for i in $(seq 0 "$last"); do
    pid=${daemons[i]}
    role=router
    curl -s -H "$operator" "127.0.0.1:$((base + 11 + i))/metrics" | grep -q '^arbutuspick_holder_takeovers_total' && role=holder
    [ "$role" = holder ] && [ "$(centre $((i + 1)))" != cap ] && role=empty-holder
    awk -v round="$1" -v workers="$2" -v tasks="$running" -v entries="$entries" -v upstreams="$upstreams" -v role="$role" -v a="${processor[i]}" -v b="$(processor_ms "$pid")" \
      -v rss="$(resident_kib "$pid")" -v bytes="$(bytes_by_kind "$logs/samples-$i" "$span")" -v span="$span" \
      -v reads=$((after[0] - before[0])) -v writes=$((after[1] - before[1])) -v load="$(cut -d' ' -f1 /proc/loadavg)" 'BEGIN {
        split(bytes, part, " ")
        printf "round=%d workers=%d tasks=%d entries=%d upstreams=%d role=%s cpu_ms_per_s=%.2f rss_kib=%d worker_bytes_per_s=%d platform_bytes_per_s=%d peer_bytes_per_s=%d all_reads_per_s=%.2f all_writes_per_s=%.2f load=%s\n",
          round, workers, tasks, entries, upstreams, role, (b - a) / span, rss, part[1], part[2], part[3], reads / span, writes / span, load }' | tee -a "$logs/points.txt"
  done
  stop_all
}

: >"$logs/points.txt"
echo "machine: $(nproc) cores, $(awk '/^MemTotal/ { printf "%d", $2 / 1048576 }' /proc/meminfo) GiB; $seconds s a point"
for round in $(seq "$rounds"); do
  for workers in "${points[@]}"; do
    tasks=0
    [[ $workers == *:* ]] && tasks=${workers#*:}
    point "$round" "${workers%:*}" "$tasks"
  done
done

# Least squares over all points of a role, with the largest residual and the range at each size.
for role in holder router empty-holder; do
  for column in cpu_ms_per_s rss_kib worker_bytes_per_s platform_bytes_per_s peer_bytes_per_s; do
    awk -v role="$role" -v column="$column" '
      function field(name,   i, pair) {
        for (i = 1; i <= NF; i++) { split($i, pair, "="); if (pair[1] == name) return pair[2] }
      }
      field("role") == role {
        x[++n] = field("workers") + 0; y[n] = field(column) + 0
        sx += x[n]; sy += y[n]; sxx += x[n] * x[n]; sxy += x[n] * y[n]
        if (!(x[n] in low) || y[n] < low[x[n]]) low[x[n]] = y[n]
        if (!(x[n] in high) || y[n] > high[x[n]]) high[x[n]] = y[n]
      }
      END {
        spread = n * sxx - sx * sx
        if (n < 2 || spread == 0) exit
        slope = (n * sxy - sx * sy) / spread; base = (sy - slope * sx) / n
        for (i = 1; i <= n; i++) { r = y[i] - base - slope * x[i]; if (r < 0) r = -r; if (r > worst) worst = r }
        printf "fit role=%s %s = %.3f + %.5f * workers; points %d; largest residual %.3f; ranges", role, column, base, slope, n, worst
        for (size in low) printf " %d:[%s, %s]", size, low[size], high[size]
        print "" }' "$logs/points.txt"
  done
done
