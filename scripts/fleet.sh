# Functions for scripts that run a fleet of 9 daemons on loopback, with stand-ins
# for the platform and the targets. To be sourced with $build set to the build
# directory. Logs are in $work, ids of the running processes in $pids.

work=$(mktemp -d)
pids=()
keep_logs=1
stop_all() {
  local it
  for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
  for _ in $(seq 50); do
    local alive=0
    for it in "${pids[@]}"; do kill -0 "$it" 2>/dev/null && alive=1; done
    ((alive)) || break
    sleep 0.1
  done
  for it in "${pids[@]}"; do kill -KILL "$it" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
finish() {
  local status=$?
  stop_all
  if ((status != 0 || keep_logs)); then
    echo "${0##*/} failed; logs are in $work" >&2
  else
    rm -rf "$work"
  fi
}
trap finish EXIT
trap 'exit 1' INT TERM

# Starts a program in the background and stores its process id in $started:
# LOG_NAME COMMAND...
start() {
  local log=$work/$1.log
  shift
  "$@" >"$log" 2>&1 &
  started=$!
  pids+=("$started")
}

# Encodes 32 bytes from standard input as Z85, the text format of CURVE keys.
z85() {
  od -An -v -tu1 | awk '
    BEGIN { a = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
            a = a ".-:+=^!/*?&<>()[]{}@%$#" }
    { for (i = 1; i <= NF; ++i) {
        v = v * 256 + $i
        if (++n % 4 == 0) {
          s = ""
          for (k = 0; k < 5; ++k) {
            s = substr(a, v % 85 + 1, 1) s; v = int(v / 85)
          }
          printf "%s", s; v = 0 } } }'
}

# Writes one settings file per daemon to $work/USER/SLOT.yaml: USER SITE
# BASE_PORT.
write_settings() {
  local user=$1 site=$2 base=$3 slot other n=0 m
  local slots=(a1 a2 a3 b1 b2 b3 c1 c2 c3)
  mkdir -p "$work/$user"
  # The daemons of a fleet share one key pair, because a daemon expects each peer
  # to present the daemon's own public key.
  local key=$work/$user/key.der public secret
  openssl genpkey -algorithm X25519 -outform DER -out "$key"
  secret=$(tail -c 32 "$key" | z85)
  public=$(openssl pkey -inform DER -in "$key" -pubout -outform DER |
    tail -c 32 | z85)
  for slot in "${slots[@]}"; do
    {
      echo "slot: $slot"
      echo "site: $site"
      echo "failure_domain: ${slot:0:1}"
      echo "listen: 127.0.0.1:$((base + 100 + n))"
      echo "admin: 127.0.0.1:$((base + 120 + n))"
      echo "peer: 127.0.0.1:$((base + 140 + n))"
      echo "platform: 127.0.0.1:$base"
      echo "keys:"
      echo "  public_key: '$public'"
      echo "  secret_key: '$secret'"
      echo "  allowed: ['$public']"
      echo "peers:"
      m=0
      for other in "${slots[@]}"; do
        [[ $other == "$slot" ]] ||
          echo "  $other: 127.0.0.1:$((base + 140 + m))"
        m=$((m + 1))
      done
      echo "threads: 1"
    } >"$work/$user/$slot.yaml"
    n=$((n + 1))
  done
}

# Waits until a daemon returns status 200 for /readyz: ADMIN_PORT.
wait_ready() {
  local port=$1
  for _ in $(seq 150); do
    if exec 3<>"/dev/tcp/127.0.0.1/$port"; then
      printf 'GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' >&3
      if head -1 <&3 | grep -q ' 200 '; then
        exec 3>&-
        return 0
      fi
      exec 3>&-
    fi 2>/dev/null
    sleep 0.1
  done
  echo "the daemon with admin port $port did not become ready" >&2
  return 1
}

slots=(a1 a2 a3 b1 b2 b3 c1 c2 c3)
declare -A daemons # process ids by user/slot

# Starts or restarts the daemon of one slot: USER SLOT.
start_daemon() {
  local log=$work/$1-$2.log it left=()
  # Forgets the id of the slot's previous process, which the system may have
  # given to another process since.
  for it in "${pids[@]}"; do
    [[ $it == "${daemons[$1/$2]:-}" ]] || left+=("$it")
  done
  pids=("${left[@]}")
  "$build/arbutusgated" --settings "$work/$1/$2.yaml" >>"$log" 2>&1 &
  pids+=("$!")
  daemons[$1/$2]=$!
}

# Starts the platform, the targets and the 9 daemons of one user, and waits until
# the daemons are ready: USER SITE CONFIG_DIR BASE_PORT SEED.
start_fleet() {
  local user=$1 site=$2 folder=$3 base=$4 seed=$5
  local vms=() n
  # Uses a copy of the configuration with the shortest retry window, so that
  # orders complete within a short run.
  cp -r "$folder" "$work/$user-config"
  folder=$work/$user-config
  sed -i 's/retry_window_ms: .*/retry_window_ms: 10000/' "$folder/base.yaml"
  write_settings "$user" "$site" "$base"
  for n in "${!slots[@]}"; do
    vms+=(--vm "${slots[n]}=127.0.0.1:$((base + 140 + n))")
  done
  start "$user-platform" "$build/arbutusgate-standin" platform \
    --listen "127.0.0.1:$base" --control "127.0.0.1:$((base + 1))" \
    --config "$folder" "${vms[@]}" --list-lag-ms 2000
  start "$user-engines" "$build/arbutusgate-standin" engine \
    --deployment "$folder/base.yaml" --control "127.0.0.1:$((base + 2))" \
    --report-lag-ms 200 --seed "$seed"
  start "$user-services" "$build/arbutusgate-standin" service \
    --deployment "$folder/base.yaml" --control "127.0.0.1:$((base + 3))" \
    --report-lag-ms 200 --seed "$seed"
  for n in "${!slots[@]}"; do
    start_daemon "$user" "${slots[n]}"
  done
  for n in "${!slots[@]}"; do wait_ready $((base + 120 + n)); done
}

# Sends a request to a stand-in's control listener and prints the response:
# PORT METHOD PATH [BODY].
control() {
  local body=${4:-}
  exec 4<>"/dev/tcp/127.0.0.1/$1"
  printf '%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n' "$2" "$3" >&4
  printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body" >&4
  cat <&4
  exec 4>&-
}
