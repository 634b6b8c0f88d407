#!/usr/bin/env bash
# Measures processor time, memory and network traffic of entry daemons against the workers of their data centre.
# Usage: demo/capacity.sh [ROUNDS] [SECONDS] [WORKERS[:TASKS]...]   (default: 3 20 8 80 800)
# Each measurement starts a platform, one process with all workers and the entry daemons on loopback, and prints one
# line per daemon. Byte counts are TCP payload as reported by ss, sampled every second. The daemons are idle unless
# TASKS sets the number of single-task jobs that run during the measurement. ENTRIES=N starts N daemons (default 2),
# UPSTREAMS=N adds N upstreams, BASE_PORT sets the first port. SPREAD=1 gives each daemon its own data centre; only
# the first data centre has workers.
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
base_port=${BASE_PORT:-21000}
# With `auth: off`, the token consists of role and name.
operator="authorization: Bearer operator:capacity"
bin=target/release
logs=demo/run-capacity-$base_port
mkdir -p "$logs"

pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    # A graceful stop waits for the lag of the load balancer, which is shorter than these 10 s.
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap stop_all EXIT

start_process() { # name, command...
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

wait_for() { # description, command...
  local description=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "not ready in 30 s: $description" >&2
  exit 1
}

centre_of() { # index
  if [ "${SPREAD:-0}" = 1 ] && [ "$1" -gt 1 ]; then echo "cap-$1"; else echo cap; fi
}

print_settings() { # index
  local other
  cat <<YAML
vm: cap-$1
data_centre: $(centre_of "$1")
http_listen: 127.0.0.1:$((base_port + 10 + $1))
peer_listen: 127.0.0.1:$((base_port + 50 + $1))
platform: 127.0.0.1:$base_port
entry_vms: $entries
services: [booking]
owners: [north-trusts]
auth: off
log_level: info
peers:
YAML
  for other in $(seq "$entries"); do
    [ "$other" -eq "$1" ] && continue
    echo "  - {name: cap-$other, data_centre: $(centre_of "$other"), address: '127.0.0.1:$((base_port + 50 + other))'}"
  done
}

workers_joined() { # workers
  # Only the daemon that holds the placement lease reports workers as joined.
  local count
  count=$({ curl -s -H "$operator" "127.0.0.1:[$((base_port + 11))-$((base_port + 10 + entries))]/v1/operator/workers" || true; } | { grep -o '"joined":true' || true; } | wc -l)
  [ "$count" -ge "$1" ]
}

# Configures an account and submits single-task jobs that run longer than the measurement.
submit_jobs() { # jobs
  local entry="127.0.0.1:$((base_port + 10 + entries))" proposal
  proposal=$(curl -sS --fail-with-body -H "$operator" -H 'content-type: application/json' -d '{"account": "load",
    "owner": "north-trusts", "home_data_centre": "cap", "small_jobs_at_once": 1, "peak_queue": 10000,
    "importance": "normal"}' "$entry/v1/operator/questionnaires" | sed -E 's/.*"proposal":"([^"]*)".*/\1/')
  curl -sS --fail-with-body -o /dev/null -X POST -H "authorization: Bearer owner:north-trusts" \
    "$entry/v1/operator/proposals/$proposal/accept"
  sleep 2 # Until the daemons have applied the configuration.
  # 50 jobs per second stay below the daemon's share of the platform's write limit.
  curl -sS --fail --rate 50/s -o /dev/null -H "authorization: Bearer account:load" \
    -H 'content-type: application/json' -d '{"shape": {"tasks": 1, "accelerators": 0, "cores": 4,
    "memory_mib": 1024, "adjacency": "task"}, "idempotent": true, "payload": "{\"run_ms\": 600000}"}' \
    "$entry/v1/jobs?n=[1-$1]"
}

# Prints the processor time of all threads of a process in milliseconds.
processor_ms() { cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%.1f", sum / 1e6 }'; }
# Prints the resident memory of a process in KiB.
resident_kib() { awk '/^VmRSS/ { print $2 }' /proc/"$1"/status; }
# Prints the total reads and writes of the platform.
platform_calls() { curl -sf "127.0.0.1:$base_port/control/stats" | sed -E 's/.*"reads":([0-9]+),"writes":([0-9]+).*/\1 \2/'; }

# Prints local address, remote address, bytes sent and bytes received of each TCP connection of a process.
connection_bytes() { # process
  ss -tinpHO state established | grep "pid=$1," | awk '{
    sent = 0; received = 0
    for (i = 1; i <= NF; i++) {
      if ($i ~ /^bytes_sent:/) sent = substr($i, 12)
      if ($i ~ /^bytes_received:/) received = substr($i, 16)
    }
    print $3, $4, sent, received }'
}

# Prints the bytes per second over the samples to and from workers, platform and peers.
bytes_by_kind() { # samples file, seconds
  awk -v base="$base_port" -v seconds="$2" '
    /^sample/ { n++; next }
    {
      key = $1 " " $2
      sub(/.*:/, "", $1); sub(/.*:/, "", $2)
      kind = "workers"
      if ($2 == base) kind = "platform"
      else if (($1 > base + 50 && $1 < base + 100) || ($2 > base + 50 && $2 < base + 100)) kind = "peers"
      else if ($1 > base + 10 && $1 < base + 51) kind = "api"
      total = $3 + $4
      # Connections opened after the first sample count from zero.
      if (n > 1) grown[kind] += total - last[key]
      last[key] = total
    }
    END { printf "%.0f %.0f %.0f", grown["workers"] / seconds, grown["platform"] / seconds, grown["peers"] / seconds }' "$1"
}

measure_point() { # round, workers, tasks
  start_process platform "$bin/standin" platform --port "$base_port" --vm-lag-ms 500
  wait_for platform curl -sf "127.0.0.1:$base_port/control/stats"
  start_process workers "$bin/standin" workers --count "$2" --data-centre cap --rack-size 8 --cores 64 \
    --memory-mib 262144 --accelerators 8 --platform "127.0.0.1:$base_port"
  if [ "$upstreams" -gt 0 ]; then
    start_process upstreams "$bin/standin" upstreams --count "$upstreams" --data-centre cap --service booking \
      --slots 8 --connections 64 --platform "127.0.0.1:$base_port"
  fi
  local i first=${#pids[@]} pid role before after started_at ended_at
  for i in $(seq "$entries"); do
    print_settings "$i" >"$logs/cap-$i.yaml"
    start_process "cap-$i" "$bin/arbutuspick" entry --settings "$logs/cap-$i.yaml"
    wait_for "cap-$i" curl -sf "127.0.0.1:$((base_port + 10 + i))/readyz"
  done
  wait_for "$2 workers joined" workers_joined "$2"
  sleep 5 # Until the first health probes and list calls are over.
  if [ "$3" -gt 0 ]; then
    submit_jobs "$3"
    sleep 27 # A worker reaches its longest heartbeat interval 24 s after the start of its youngest attempt.
  fi
  local daemons=("${pids[@]:first:entries}") processor=() last=$((entries - 1))
  for i in $(seq 0 "$last"); do : >"$logs/samples-$i"; processor+=("$(processor_ms "${daemons[i]}")"); done
  before=($(platform_calls))
  started_at=$(date +%s.%N)
  for _ in $(seq 0 "$seconds"); do
    for i in $(seq 0 "$last"); do { echo sample; connection_bytes "${daemons[i]}"; } >>"$logs/samples-$i"; done
    sleep 1
  done
  ended_at=$(date +%s.%N)
  after=($(platform_calls))
  local elapsed_s running
  running=$(curl -s -H "$operator" "127.0.0.1:[$((base_port + 11))-$((base_port + 10 + entries))]/debug/state" |
    { grep -o '"state":"running"' || true; } | wc -l)
  elapsed_s=$(awk -v a="$started_at" -v b="$ended_at" 'BEGIN { print b - a }')
  for i in $(seq 0 "$last"); do
    pid=${daemons[i]}
    role=router
    curl -s -H "$operator" "127.0.0.1:$((base_port + 11 + i))/metrics" | grep -q '^arbutuspick_holder_takeovers_total' && role=holder
    [ "$role" = holder ] && [ "$(centre_of $((i + 1)))" != cap ] && role=empty-holder
    awk -v round="$1" -v workers="$2" -v tasks="$running" -v entries="$entries" -v upstreams="$upstreams" -v role="$role" -v a="${processor[i]}" -v b="$(processor_ms "$pid")" \
      -v rss="$(resident_kib "$pid")" -v bytes="$(bytes_by_kind "$logs/samples-$i" "$elapsed_s")" -v span="$elapsed_s" \
      -v reads=$((after[0] - before[0])) -v writes=$((after[1] - before[1])) -v load="$(cut -d' ' -f1 /proc/loadavg)" 'BEGIN {
        split(bytes, part, " ")
        printf "round=%d workers=%d tasks=%d entries=%d upstreams=%d role=%s cpu_ms_per_s=%.2f rss_kib=%d worker_bytes_per_s=%d platform_bytes_per_s=%d peer_bytes_per_s=%d all_reads_per_s=%.2f all_writes_per_s=%.2f load=%s\n",
          round, workers, tasks, entries, upstreams, role, (b - a) / span, rss, part[1], part[2], part[3], reads / span, writes / span, load }' | tee -a "$logs/points.txt"
  done
  stop_all
}

: >"$logs/points.txt"
echo "machine: $(nproc) cores, $(awk '/^MemTotal/ { printf "%d", $2 / 1048576 }' /proc/meminfo) GiB; $seconds s per measurement"
for round in $(seq "$rounds"); do
  for workers in "${points[@]}"; do
    tasks=0
    [[ $workers == *:* ]] && tasks=${workers#*:}
    measure_point "$round" "${workers%:*}" "$tasks"
  done
done

# Least-squares fit over all measurements of a role, with the largest residual and the range at each size.
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
