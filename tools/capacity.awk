# Reads the JSON output of Google Benchmark (one member per line), fits `value = base + slope * size` by least squares for
# each family of benchmarks, and prints the tables of docs/CAPACITY.md. A family is a benchmark with all sizes it ran at.

# Adds a size to the sizes of a family, which are kept in ascending order.
function add_size(family, size,    i) {
  for (i = ++size_count[family]; i > 1 && nth_size[family, i - 1] + 0 > size + 0; --i) nth_size[family, i] = nth_size[family, i - 1]
  nth_size[family, i] = size
}

# Returns a member of the JSON output at the i-th size of a family, counted from 1.
function nth_value(family, i, member) { return min_value[family, nth_size[family, i], member] }

# Sets `base`, `slope` and `worst_error`, the largest relative error of the fit at any size, for one member of a family.
function fit(family, member,    i, n, x, y, sx, sy, sxx, sxy, denominator, relative_error, family_member) {
  n = size_count[family]
  family_member = family SUBSEP member
  for (i = 1; i <= n; ++i) {
    x = nth_size[family, i]; y = nth_value(family, i, member)
    sx += x; sy += y; sxx += x * x; sxy += x * y
  }
  denominator = n * sxx - sx * sx
  slope[family_member] = (n * sxy - sx * sy) / denominator
  base[family_member] = (sy - slope[family_member] * sx) / n
  for (i = 1; i <= n; ++i) {
    y = nth_value(family, i, member)
    relative_error = y == 0 ? 0 : (estimate(family, member, nth_size[family, i]) - y) / y
    if (relative_error < 0) relative_error = -relative_error
    if (relative_error > worst_error[family_member]) worst_error[family_member] = relative_error
  }
}

# Returns the value that the fit gives at a size. Call `fit` first.
function estimate(family, member, size) { return base[family, member] + slope[family, member] * size }

function print_slope_row(family, member, unit, per,    i, list) {
  fit(family, member)
  for (i = 1; i <= size_count[family]; ++i) list = list (i > 1 ? ", " : "") nth_size[family, i]
  printf "| `%s` | %s | %s | %.4g | %.4g %s | %.0f%% |\n", family, member, list, base[family, member],
    slope[family, member], unit "/" per, 100 * worst_error[family, member]
}

# Returns an amount with three significant digits, without an exponent.
function format_number(amount,    shift) {
  for (shift = 1; amount >= 1000 * shift; shift *= 10) {}
  return shift == 1 ? sprintf("%.3g", amount) : sprintf("%.0f", int(amount / shift + 0.5) * shift)
}

function print_row(name, amount, unit, how) {
  printf "| %s | %s%s | %s |\n", name, format_number(amount), unit == "" ? "" : " " unit, how
}

function print_budget_row(role, resource, amount, unit, limit) {
  printf "| %s | %s | %s %s | %s %s | %s |\n", role, resource, format_number(amount), unit, limit, unit, amount <= limit ? "yes" : "no"
}

function print_table_header(title) { printf "\n%s\n\n| line | value | from |\n|---|---|---|\n", title }

# A benchmark is repeated under the same name. The smallest value is used, because other load on the machine can only
# increase a value.
/"name": / {
  split($0, quoted, "\""); name_part_count = split(quoted[4], name, "/")
  family = name_part_count > 1 && quoted[4] !~ /_(mean|median|stddev|cv)$/ ? name[1] : ""
  size = name[2]
  if (family != "" && !seen[family, size]++) add_size(family, size)
}
family != "" && /^ *"[a-z_]+": [-0-9.e+]+,?$/ {
  split($0, quoted, "\""); sub(/,$/, "", quoted[3]); sub(/^: /, "", quoted[3])
  amount = quoted[3] + 0
  if (!((family, size, quoted[2]) in min_value) || amount < min_value[family, size, quoted[2]])
    min_value[family, size, quoted[2]] = amount
}

END {
  print "| benchmark | value | sizes | base | slope | worst error of the fit |"
  print "|---|---|---|---|---|---|"
  print_slope_row("bundle_by_accounts", "document_bytes", "B", "account")
  print_slope_row("bundle_by_accounts", "cpu_time", "ns", "account")
  print_slope_row("bundle_by_accounts", "heap_bytes", "B", "account")
  print_slope_row("bundle_by_accounts", "peak_bytes", "B", "account")
  print_slope_row("bundle_by_upstreams", "document_bytes", "B", "upstream")
  print_slope_row("bundle_by_upstreams", "cpu_time", "ns", "upstream")
  print_slope_row("bundle_by_upstreams", "heap_bytes", "B", "upstream")
  print_slope_row("bundle_by_upstreams", "peak_bytes", "B", "upstream")
  print_slope_row("heartbeat_by_notices", "wire_bytes", "B", "notice")
  print_slope_row("heartbeat_by_costs", "wire_bytes", "B", "cost")
  print_slope_row("heartbeat_by_entries", "wire_bytes", "B", "entry")
  print_slope_row("heartbeat_by_entries", "cpu_time", "ns", "entry")
  print_slope_row("memory_rpc_connections", "heap_bytes", "B", "connection")
  print_slope_row("memory_upstream_table", "heap_bytes", "B", "upstream")
  print_slope_row("memory_metrics", "heap_bytes", "B", "account")
  print_slope_row("memory_fair_queue", "heap_bytes", "B", "account")
  print_slope_row("memory_block_index", "heap_bytes", "B", "block")
  print_slope_row("memory_order_ledger", "heap_bytes", "B", "claim")
  print_slope_row("choose_for_prompt", "cpu_time", "ns", "upstream")
  print_slope_row("push_and_pop", "cpu_time", "ns", "account")
  print_slope_row("claim_step", "cpu_time", "ns", "claim")
  print_slope_row("write_answer_event", "cpu_time", "ns", "text byte")
  print_slope_row("read_engine_event", "cpu_time", "ns", "text byte")

  print "\n| benchmark | size | time | growth from the size before, as a power of the size |\n|---|---|---|---|"
  family = "add_upstreams_again"
  for (i = 1; i <= size_count[family]; ++i) {
    y = nth_value(family, i, "cpu_time"); x = nth_size[family, i]
    growth = i == 1 ? "" : sprintf("%.2f", log(y / nth_value(family, i - 1, "cpu_time")) / log(x / nth_size[family, i - 1]))
    printf "| `%s` | %s | %.3g ms | %s |\n", family, x, y / 1e6, growth
  }

  # The system size of section 1.2 of docs/design.md.
  entries = 360; upstreams = 850; accounts = 840; requests_per_s = 13000; tokens_per_s = 3.2e6; changes_per_s = 3000 / 86400
  zone_notices = 5; token_interval_s = 0.057; bytes_per_token = 4; processes = entries + upstreams
  # Constants of the source code: heartbeat intervals, costs in the answer to a heartbeat, blocks in the index, claims of an
  # order owner and bytes of the answers that it keeps.
  busy_interval_s = 0.5; idle_interval_s = 1.5; costs_per_answer = 16; index_blocks = 200000; claim_count = 1e6; kept_answer_bytes = 32 * 1048576
  bytes_per_mb = 1e6

  streams_per_entry = requests_per_s / entries * (tokens_per_s / requests_per_s) * token_interval_s
  busy_link_share = 1 - exp(-streams_per_entry / upstreams)
  link_heartbeats_per_s = busy_link_share / busy_interval_s + (1 - busy_link_share) / idle_interval_s
  heartbeat_bytes = estimate("heartbeat_by_notices", "wire_bytes", zone_notices) + slope["heartbeat_by_entries", "wire_bytes"] * entries
  heartbeat_bytes_with_costs = heartbeat_bytes + slope["heartbeat_by_costs", "wire_bytes"] / 2 * costs_per_answer
  heartbeat_cpu_s = estimate("heartbeat_by_entries", "cpu_time", entries) / 2e9
  entry_heartbeats_per_s = 2 * (entries - 1) / busy_interval_s
  bundle_document_bytes = estimate("bundle_by_accounts", "document_bytes", accounts) + slope["bundle_by_upstreams", "document_bytes"] * upstreams
  bundle_check_ns = estimate("bundle_by_accounts", "cpu_time", accounts) + slope["bundle_by_upstreams", "cpu_time"] * upstreams
  bundle_bytes = estimate("bundle_by_accounts", "heap_bytes", accounts) + slope["bundle_by_upstreams", "heap_bytes"] * upstreams + bundle_document_bytes
  bundle_peak_bytes = estimate("bundle_by_accounts", "peak_bytes", accounts) + slope["bundle_by_upstreams", "peak_bytes"] * upstreams
  connection_end_bytes = slope["memory_rpc_connections", "heap_bytes"] / 2
  metrics_bytes = estimate("memory_metrics", "heap_bytes", accounts)
  add_upstreams_again_ns = min_value["add_upstreams_again", upstreams, "cpu_time"]

  print_table_header("Bundle, each process")
  print_row("document", bundle_document_bytes / 1000, "KB", "slopes of `document_bytes`")
  print_row("fetching it", bundle_document_bytes * changes_per_s, "B/s", "document x changes/s")
  print_row("checking and parsing", bundle_check_ns / 1e6, "ms", "slopes of `cpu_time`; one pause of the control thread each change")
  print_row("the same as load", 100 * bundle_check_ns / 1e9 * changes_per_s, "% of a core", "x changes/s")
  print_row("upstreams taken in again (entry)", add_upstreams_again_ns / 1e6, "ms", "`add_upstreams_again/850`; further pause")
  print_row("kept bundle and document", bundle_bytes / bytes_per_mb, "MB", "slopes of `heap_bytes` + document")
  print_row("peak during the check", bundle_peak_bytes / bytes_per_mb, "MB", "slopes of `peak_bytes`")

  print_table_header("Entry instance")
  print_row("requests", requests_per_s / entries, "/s", "13,000 / 360")
  print_row("open streams", streams_per_entry, "", "requests/s x 246 tokens x 57 ms (reasoned)")
  print_row("links with open requests", 100 * busy_link_share, "%", "1 - exp(-streams / 850) (reasoned)")
  print_row("heartbeats to sidecars", link_heartbeats_per_s * upstreams, "/s", "busy links / 0.5 s + other links / 1.5 s")
  print_row("heartbeats with entries", entry_heartbeats_per_s, "/s", "359 links out and 359 in, each / 0.5 s")
  print_row("bytes of one, with its answer", heartbeat_bytes_with_costs, "B", "5 notices, 360 entry peers, 16 costs in the answer")
  entry_heartbeat_bytes_per_s = link_heartbeats_per_s * upstreams * heartbeat_bytes_with_costs + entry_heartbeats_per_s * heartbeat_bytes
  print_row("heartbeat traffic", entry_heartbeat_bytes_per_s / 1000, "KB/s", "rates x bytes, both directions, without TLS and TCP headers")
  print_row("the same without the list of entries", (link_heartbeats_per_s * upstreams * (heartbeat_bytes_with_costs - slope["heartbeat_by_entries", "wire_bytes"] * entries) + entry_heartbeats_per_s * (heartbeat_bytes - slope["heartbeat_by_entries", "wire_bytes"] * entries)) / 1000, "KB/s", "as above")
  print_row("heartbeat load", 100 * heartbeat_cpu_s * (link_heartbeats_per_s * upstreams + entry_heartbeats_per_s), "% of a core", "half the `cpu_time` of both ends, without TLS")
  print_row("memory: connections", connection_end_bytes * (upstreams + 2 * (entries - 1)) / bytes_per_mb, "MB", "850 + 718 ends, without TLS")
  print_row("memory: upstream table", estimate("memory_upstream_table", "heap_bytes", upstreams) / bytes_per_mb, "MB", "slope")
  print_row("memory: metrics", metrics_bytes / bytes_per_mb, "MB", "840 accounts in 2 classes, slope")
  print_row("memory: sum with bundle and peak", (connection_end_bytes * (upstreams + 2 * (entries - 1)) + estimate("memory_upstream_table", "heap_bytes", upstreams) + metrics_bytes + bundle_bytes + bundle_peak_bytes) / bytes_per_mb, "MB", "without code, TLS and streams")
  print_row("data path: token events", tokens_per_s / entries, "/s", "3.2 million / 360")
  print_row("data path: writing them", 100 * tokens_per_s / entries * estimate("write_answer_event", "cpu_time", bytes_per_token) / 1e9, "% of a core", "4 text bytes each")
  print_row("data path: route choices", 100 * requests_per_s / entries * estimate("choose_for_prompt", "cpu_time", upstreams) / 1e9, "% of a core", "one per request")

  print_table_header("Sidecar")
  print_row("heartbeats from entries", link_heartbeats_per_s * entries, "/s", "360 links, as above")
  print_row("heartbeat traffic", link_heartbeats_per_s * entries * heartbeat_bytes_with_costs / 1000, "KB/s", "both directions")
  print_row("heartbeat load", 100 * heartbeat_cpu_s * link_heartbeats_per_s * entries, "% of a core", "half the `cpu_time` of both ends")
  print_row("memory: connections", connection_end_bytes * entries / bytes_per_mb, "MB", "360 ends, without TLS")
  print_row("memory: block index (engine)", estimate("memory_block_index", "heap_bytes", index_blocks) / bytes_per_mb, "MB", "200,000 blocks")
  print_row("memory: fair queue (engine)", estimate("memory_fair_queue", "heap_bytes", accounts) / bytes_per_mb, "MB", "8 waiting requests of each account")
  print_row("memory: metrics", metrics_bytes / bytes_per_mb, "MB", "as above")
  engine_sidecar_bytes = connection_end_bytes * entries + estimate("memory_block_index", "heap_bytes", index_blocks) + estimate("memory_fair_queue", "heap_bytes", accounts) + metrics_bytes + bundle_bytes + bundle_peak_bytes
  print_row("memory: sum beside an engine", engine_sidecar_bytes / bytes_per_mb, "MB", "with bundle and peak; without code, TLS and streams")
  ledger_bytes = estimate("memory_order_ledger", "heap_bytes", claim_count)
  print_row("memory: order ledger (service)", ledger_bytes / bytes_per_mb, "MB", "default `max_claims` of 1,000,000, without answers")
  print_row("memory: sum beside a service", (connection_end_bytes * entries + ledger_bytes + kept_answer_bytes + metrics_bytes + bundle_bytes + bundle_peak_bytes) / bytes_per_mb, "MB", "with 32 MB of answers, bundle and peak")
  print_row("data path: engine events", tokens_per_s / upstreams, "/s", "3.2 million / 850")
  print_row("data path: reading them", 100 * tokens_per_s / upstreams * estimate("read_engine_event", "cpu_time", bytes_per_token) / 1e9, "% of a core", "4 text bytes each")

  print_table_header("Operator commands")
  print_row("`bundle roll-out`, checks", 3 * bundle_check_ns / 1e6, "ms", "opens three documents (reasoned from the code)")
  print_row("proposed bundles kept", bundle_document_bytes * 3000 / bytes_per_mb, "MB/day", "document x 3,000; nothing removes them (reasoned)")
  print_row("platform calls of all changes", 7 * changes_per_s, "/s", "7 a change: 2 of `propose`, 2 of `sign-off`, 3 of `roll-out` (reasoned)")

  print_table_header("Platform calls of the whole system")
  print_row("status writes, mean", processes * changes_per_s, "/s", "each process once a change (reasoned)")
  print_row("status writes after one change", processes, "", "within about the time a bundle needs to spread (reasoned)")
  print_row("regular reports", 0.25, "/s", "each sidecar beside a service, `kStatusInterval` 4 s (reasoned)")
  print_row("watches, started", 3 / (2 + 0.15), "/s", "3 watchers, 2 s wait and 0.1 to 0.2 s pause (reasoned)")
  print_row("watches, waiting", 3, "", "`kWatcherCount`; a few more while entries disagree")
  print_row("reads while `bundle/current` is invalid", processes / (2.5 * 1.5), "/s", "`kMinReadInterval` 2.5 to 5 s (reasoned)")
  print_row("calls while the platform refuses at once", processes / (0.25 * 1.5), "/s", "`kMinRetryDelay` 0.25 to 0.5 s (reasoned)")
  print_row("calls while the platform times out", processes / (1 + 0.25 * 1.5), "/s", "`kCallTimeout` 1 s + `kMinRetryDelay` (reasoned)")

  entry_memory_bytes = connection_end_bytes * (upstreams + 2 * (entries - 1)) + estimate("memory_upstream_table", "heap_bytes", upstreams) + metrics_bytes + bundle_bytes + bundle_peak_bytes
  service_sidecar_bytes = connection_end_bytes * entries + ledger_bytes + kept_answer_bytes + metrics_bytes + bundle_bytes + bundle_peak_bytes
  bundle_load_percent = 100 * bundle_check_ns / 1e9 * changes_per_s
  bundle_kb_per_s = bundle_document_bytes * changes_per_s / 1000
  print "\nControl budget of a node (measured parts only)\n"
  print "| role | resource | need | budget | fits |\n|---|---|---|---|---|"
  print_budget_row("entry", "processor: heartbeats", 100 * heartbeat_cpu_s * (link_heartbeats_per_s * upstreams + entry_heartbeats_per_s), "%", 3.3)
  print_budget_row("entry", "processor: bundle", bundle_load_percent + 100 * add_upstreams_again_ns / 1e9 * changes_per_s, "%", 3.3)
  print_budget_row("entry", "memory", entry_memory_bytes / bytes_per_mb, "MB", 128)
  print_budget_row("entry", "traffic: heartbeats", entry_heartbeat_bytes_per_s / 1000, "KB/s", 4)
  print_budget_row("entry", "traffic: bundle", bundle_kb_per_s, "KB/s", 4)
  print_budget_row("sidecar", "processor: heartbeats", 100 * heartbeat_cpu_s * link_heartbeats_per_s * entries, "%", 3.3)
  print_budget_row("sidecar", "processor: bundle", bundle_load_percent, "%", 3.3)
  print_budget_row("sidecar, engine", "memory", engine_sidecar_bytes / bytes_per_mb, "MB", 128)
  print_budget_row("sidecar, service", "memory", service_sidecar_bytes / bytes_per_mb, "MB", 128)
  print_budget_row("sidecar", "traffic: heartbeats", link_heartbeats_per_s * entries * heartbeat_bytes_with_costs / 1000, "KB/s", 4)
  print_budget_row("sidecar", "traffic: bundle", bundle_kb_per_s, "KB/s", 4)
}
