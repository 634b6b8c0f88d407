#!/usr/bin/env bash
# Runs a deployment on loopback: stand-in processes, seven entry daemons and a bounded workload, whose results are
# checked.
# Usage: demo/run.sh [midlands|nordeste]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-midlands}
case $deployment in
  midlands) centres=(trent severn peak-edge) platform_port=18000 service=booking cores=64 memory_mib=262144 ;;
  nordeste) centres=(recife-a fortaleza-b salvador-c) platform_port=19000 service=canopy-mapping cores=128 memory_mib=524288 ;;
  *) echo "unknown deployment $deployment: use midlands or nordeste" >&2; exit 2 ;;
esac
host_counts=(17 17 16) # Workers and upstreams by data centre, 50 each in total.
platform=127.0.0.1:$platform_port
logs=demo/run-$deployment
bin=target/release

echo "== build"
cargo build --release --locked --quiet -p arbutuspick-entry -p arbutuspick-standins

pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
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

rm -rf "$logs"
mkdir -p "$logs"
echo "== start stand-ins and entry VMs"
start_process platform "$bin/standin" platform --port "$platform_port" --vm-lag-ms 500
wait_for platform curl -sf "http://$platform/control/stats"
for i in 0 1 2; do
  start_process "workers-${centres[i]}" "$bin/standin" workers --count "${host_counts[i]}" --data-centre "${centres[i]}" \
    --rack-size 8 --cores "$cores" --memory-mib "$memory_mib" --accelerators 8 --platform "$platform"
  start_process "upstreams-${centres[i]}" "$bin/standin" upstreams --count "${host_counts[i]}" --data-centre "${centres[i]}" \
    --service "$service" --slots 8 --connections 64 --platform "$platform"
done
entries=()
for settings_file in examples/"$deployment"/*-[0-9].yaml; do
  "$bin/arbutuspick" check-config "$settings_file" >/dev/null
  start_process "$(basename "$settings_file" .yaml)" "$bin/arbutuspick" entry --settings "$settings_file"
  centre=$(awk '/^data_centre:/ {print $2}' "$settings_file")
  address=$(awk '/^http_listen:/ {print $2}' "$settings_file")
  entries+=("$centre=$address")
done
for entry in "${entries[@]}"; do wait_for "$entry" curl -sf "http://${entry#*=}/readyz"; done

first_address=${entries[0]#*=}
operator="authorization: Bearer sample-$deployment-operator-control-room"
workers_joined() {
  local joined=0 entry
  for entry in "${entries[@]}"; do
    joined=$((joined + $(curl -sf -H "$operator" "http://${entry#*=}/v1/operator/workers" | grep -o '"joined":true' | wc -l)))
  done
  [ "$joined" -ge 50 ]
}
wait_for "workers joined" workers_joined

echo "== configure four client accounts"
# The owner whose turn it is this month accepts the proposals that are generated from the questionnaires.
owner=$(curl -sf -H "$operator" "http://$first_address/v1/operator/turn" | sed -E 's/.*"owner":"([^"]*)".*/\1/')
for questionnaire in examples/"$deployment"/questionnaire-*.yaml; do
  answers=$(awk -F': ' '
    { value = $2; if (value !~ /^([0-9]+|true|false)$/) value = "\"" value "\"";
      printf "%s\"%s\": %s", (NR > 1 ? ", " : "{"), $1, value }
    END { print "}" }' "$questionnaire")
  proposal=$(curl -sS --fail-with-body -H "$operator" -H 'content-type: application/json' -d "$answers" \
    "http://$first_address/v1/operator/questionnaires" | sed -E 's/.*"proposal":"([^"]*)".*/\1/')
  curl -sS --fail-with-body -X POST -H "authorization: Bearer sample-$deployment-owner-$owner" \
    "http://$first_address/v1/operator/proposals/$proposal/accept" >/dev/null
done
config_applied() {
  local entry
  for entry in "${entries[@]}"; do
    curl -sf -H "$operator" "http://${entry#*=}/v1/pool" | grep -q '"config_revision":4' || return 1
  done
}
wait_for "configuration applied" config_applied
echo "== workload"
entry_arguments=()
for entry in "${entries[@]}"; do entry_arguments+=(--entry "$entry"); done
status=0
"$bin/drive" --workload "demo/$deployment.yaml" --platform "$platform" "${entry_arguments[@]}" || status=$?
if [ "$status" -eq 0 ]; then echo "== all checks passed"; else echo "== failed with status $status; logs are in $logs"; fi
exit "$status"
