# Functions that start and stop a deployment on loopback; sourced by other scripts, which set "standin_settings".
# Processes are stopped by their ids, the roles before the stand-ins.
readonly PORT_NAMES=(STANDINS TABLE WEIGHTS INSTANCES ENGINE_1 ENGINE_2 ORDERS
  AGENT_1 AGENT_2 AGENT_3 CONTROL_1 CONTROL_2 CONTROL_3 ENTRY_1 ENTRY_2)
readonly START_TIMEOUT_S=60
logs="$(mktemp -d)"
pids=()
failed=0

port_is_open() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

pick_ports() {
  local base name port
  base=$((20000 + RANDOM % 20000))
  for name in "${PORT_NAMES[@]}"; do
    port=$base
    while port_is_open "$port"; do port=$((port + 1)); done
    export "HG_PORT_$name=$port"
    base=$((port + 1))
  done
}

await_port() {
  local deadline=$((SECONDS + START_TIMEOUT_S))
  until port_is_open "$1"; do
    [ "$SECONDS" -lt "$deadline" ] || { echo "nothing listens on port $1 after $START_TIMEOUT_S s"; return 1; }
    sleep 0.1
  done
}

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

stop_all() {
  trap - EXIT
  local pid index deadline
  # Roles first, so that they can still reach the platform while they drain.
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    pid=${pids[index]}
    kill "$pid" 2>/dev/null || continue
    deadline=$((SECONDS + 20))
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.1; done
    if kill -0 "$pid" 2>/dev/null; then
      echo "process $pid did not stop in time"
      kill -9 "$pid"
      failed=1
    fi
  done
}

entry() { HG_NAME=$1 HG_PORT_HTTP=$2 start "$1" bin/hawthornglade entry conf/demo/entry.json; }

agent() {
  HG_NAME=$1 HG_DOMAIN=$2 HG_PORT_HTTP=$3 HG_PORT_CONTROL=$4 HG_PORT_ENDPOINT=$5 \
    start "agent-$1" bin/hawthornglade agent "$6"
}

pick_secrets() {
  export HG_CLUSTER_KEY HG_KEY_MILL HG_KEY_HOTEL HG_TOKEN_NORTH HG_TOKEN_SOUTH
  local secret
  for secret in HG_CLUSTER_KEY HG_KEY_MILL HG_KEY_HOTEL HG_TOKEN_NORTH HG_TOKEN_SOUTH; do
    printf -v "$secret" 'demo-%s-%s-%s-%s' "$RANDOM" "$RANDOM" "$RANDOM" "$RANDOM"
  done
}

start_deployment() {
  start standins bin/hawthornglade standin "$standin_settings"
  for port in "$HG_PORT_TABLE" "$HG_PORT_INSTANCES" "$HG_PORT_ENGINE_1" "$HG_PORT_ENGINE_2" "$HG_PORT_ORDERS"; do
    await_port "$port"
  done
  entry entry-1 "$HG_PORT_ENTRY_1"
  entry entry-2 "$HG_PORT_ENTRY_2"
  agent engine-1 domain-a "$HG_PORT_AGENT_1" "$HG_PORT_CONTROL_1" "$HG_PORT_ENGINE_1" conf/demo/agent.json
  agent engine-2 domain-b "$HG_PORT_AGENT_2" "$HG_PORT_CONTROL_2" "$HG_PORT_ENGINE_2" conf/demo/agent.json
  agent orders-1 domain-a "$HG_PORT_AGENT_3" "$HG_PORT_CONTROL_3" "$HG_PORT_ORDERS" conf/demo/service-agent.json
  for port in "$HG_PORT_ENTRY_1" "$HG_PORT_ENTRY_2" "$HG_PORT_CONTROL_1" "$HG_PORT_CONTROL_2" "$HG_PORT_CONTROL_3"; do
    await_port "$port"
  done
  one="http://127.0.0.1:$HG_PORT_ENTRY_1"
  two="http://127.0.0.1:$HG_PORT_ENTRY_2"
}

# Prints the id in a plan's JSON.
plan_id() { sed -n 's/.*"id" *: *"\([^"]*\)".*/\1/p' | head -1; }
make_plan() { bin/hawthornglade plan --entry "$1" --token-env "$2" --json "$3" | tr ',' '\n' | plan_id; }

in_force() {
  local status
  status="$(bin/hawthornglade status --entry "$two" --token-env HG_TOKEN_SOUTH --json 2>/dev/null)" || return 1
  ! grep -q '"behind" *: *true' <<<"$status" && ! grep -q '"version" *: *0' <<<"$status"
}

await_in_force() {
  local deadline=$((SECONDS + 30))
  until in_force; do
    [ "$SECONDS" -lt "$deadline" ] || { echo "FAILED: not in force everywhere after 30 s"; return 1; }
  done
}
