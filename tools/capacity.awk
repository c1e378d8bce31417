# Reads the JSON output of Google Benchmark (one member a line), fits `value = base + slope * size` by least squares for
# each family of benchmarks, and prints the tables of docs/CAPACITY.md.

# Keeps the sizes of a family in rising order.
function add_size(family, size,    i) {
  for (i = ++sizes[family]; i > 1 && size_of[family, i - 1] + 0 > size + 0; --i) size_of[family, i] = size_of[family, i - 1]
  size_of[family, i] = size
}

function value(family, i, member) { return least[family, size_of[family, i], member] }

function fit(family, member,    i, n, x, y, sx, sy, sxx, sxy, d, error, key) {
  n = sizes[family]
  key = family SUBSEP member
  for (i = 1; i <= n; ++i) {
    x = size_of[family, i]; y = value(family, i, member)
    sx += x; sy += y; sxx += x * x; sxy += x * y
  }
  d = n * sxx - sx * sx
  slope[key] = (n * sxy - sx * sy) / d
  base[key] = (sy - slope[key] * sx) / n
  for (i = 1; i <= n; ++i) {
    y = value(family, i, member)
    error = y == 0 ? 0 : (at(family, member, size_of[family, i]) - y) / y
    if (error < 0) error = -error
    if (error > worst[key]) worst[key] = error
  }
}

function at(family, member, size) { return base[family, member] + slope[family, member] * size }

function slope_row(family, member, unit, per,    i, list) {
  fit(family, member)
  for (i = 1; i <= sizes[family]; ++i) list = list (i > 1 ? ", " : "") size_of[family, i]
  printf "| `%s` | %s | %s | %.4g | %.4g %s | %.0f%% |\n", family, member, list, base[family, member],
    slope[family, member], unit "/" per, 100 * worst[family, member]
}

# Three significant digits without an exponent.
function number(amount,    shift) {
  for (shift = 1; amount >= 1000 * shift; shift *= 10) {}
  return shift == 1 ? sprintf("%.3g", amount) : sprintf("%.0f", int(amount / shift + 0.5) * shift)
}

function line(name, amount, unit, how) {
  printf "| %s | %s%s | %s |\n", name, number(amount), unit == "" ? "" : " " unit, how
}

function budget(role, resource, amount, unit, limit) {
  printf "| %s | %s | %s %s | %s %s | %s |\n", role, resource, number(amount), unit, limit, unit, amount <= limit ? "yes" : "no"
}

function heading(title) { printf "\n%s\n\n| line | value | from |\n|---|---|---|\n", title }

# Runs are repeated under the same name; the least value counts, since other load on the machine only adds.
/"name": / {
  split($0, quoted, "\""); parts = split(quoted[4], name, "/")
  family = parts > 1 && quoted[4] !~ /_(mean|median|stddev|cv)$/ ? name[1] : ""
  size = name[2]
  if (family != "" && !seen[family, size]++) add_size(family, size)
}
family != "" && /^ *"[a-z_]+": [-0-9.e+]+,?$/ {
  split($0, quoted, "\""); sub(/,$/, "", quoted[3]); sub(/^: /, "", quoted[3])
  amount = quoted[3] + 0
  if (!((family, size, quoted[2]) in least) || amount < least[family, size, quoted[2]])
    least[family, size, quoted[2]] = amount
}

END {
  print "| benchmark | value | sizes | base | slope | worst error of the fit |"
  print "|---|---|---|---|---|---|"
  slope_row("bundle_by_accounts", "document_bytes", "B", "account")
  slope_row("bundle_by_accounts", "cpu_time", "ns", "account")
  slope_row("bundle_by_accounts", "heap_bytes", "B", "account")
  slope_row("bundle_by_accounts", "peak_bytes", "B", "account")
  slope_row("bundle_by_upstreams", "document_bytes", "B", "upstream")
  slope_row("bundle_by_upstreams", "cpu_time", "ns", "upstream")
  slope_row("bundle_by_upstreams", "heap_bytes", "B", "upstream")
  slope_row("bundle_by_upstreams", "peak_bytes", "B", "upstream")
  slope_row("heartbeat_by_notices", "wire_bytes", "B", "notice")
  slope_row("heartbeat_by_costs", "wire_bytes", "B", "cost")
  slope_row("heartbeat_by_entries", "wire_bytes", "B", "entry")
  slope_row("heartbeat_by_entries", "cpu_time", "ns", "entry")
  slope_row("memory_rpc_connections", "heap_bytes", "B", "connection")
  slope_row("memory_upstream_table", "heap_bytes", "B", "upstream")
  slope_row("memory_metrics", "heap_bytes", "B", "account")
  slope_row("memory_fair_queue", "heap_bytes", "B", "account")
  slope_row("memory_block_index", "heap_bytes", "B", "block")
  slope_row("memory_order_ledger", "heap_bytes", "B", "claim")
  slope_row("choose_for_prompt", "cpu_time", "ns", "upstream")
  slope_row("push_and_pop", "cpu_time", "ns", "account")
  slope_row("claim_step", "cpu_time", "ns", "claim")
  slope_row("write_answer_event", "cpu_time", "ns", "text byte")
  slope_row("read_engine_event", "cpu_time", "ns", "text byte")

  print "\n| benchmark | size | time | growth from the size before, as a power of the size |\n|---|---|---|---|"
  family = "add_upstreams_again"
  for (i = 1; i <= sizes[family]; ++i) {
    y = value(family, i, "cpu_time"); x = size_of[family, i]
    growth = i == 1 ? "" : sprintf("%.2f", log(y / value(family, i - 1, "cpu_time")) / log(x / size_of[family, i - 1]))
    printf "| `%s` | %s | %.3g ms | %s |\n", family, x, y / 1e6, growth
  }

  # The size of section 1.2.
  entries = 360; upstreams = 850; accounts = 840; requests = 13000; tokens = 3.2e6; changes = 3000 / 86400
  notices = 5; token_s = 0.057; token_bytes = 4; processes = entries + upstreams
  # Constants of the code: heartbeat intervals, costs in an answer, index size, claims and answers of an order owner.
  busy_interval = 0.5; idle_interval = 1.5; costs = 16; index_blocks = 200000; claims = 1e6; answers = 32 * 1048576
  mb = 1e6

  streams = requests / entries * (tokens / requests) * token_s
  busy = 1 - exp(-streams / upstreams)
  link_rate = busy / busy_interval + (1 - busy) / idle_interval
  pair = at("heartbeat_by_notices", "wire_bytes", notices) + slope["heartbeat_by_entries", "wire_bytes"] * entries
  pair_costs = pair + slope["heartbeat_by_costs", "wire_bytes"] / 2 * costs
  pair_cpu = at("heartbeat_by_entries", "cpu_time", entries) / 2e9
  mesh_rate = 2 * (entries - 1) / busy_interval
  document = at("bundle_by_accounts", "document_bytes", accounts) + slope["bundle_by_upstreams", "document_bytes"] * upstreams
  open_ns = at("bundle_by_accounts", "cpu_time", accounts) + slope["bundle_by_upstreams", "cpu_time"] * upstreams
  bundle = at("bundle_by_accounts", "heap_bytes", accounts) + slope["bundle_by_upstreams", "heap_bytes"] * upstreams + document
  peak = at("bundle_by_accounts", "peak_bytes", accounts) + slope["bundle_by_upstreams", "peak_bytes"] * upstreams
  end_bytes = slope["memory_rpc_connections", "heap_bytes"] / 2
  metrics = at("memory_metrics", "heap_bytes", accounts)
  again = least["add_upstreams_again", upstreams, "cpu_time"]

  heading("Bundle, each process")
  line("document", document / 1000, "KB", "slopes of `document_bytes`")
  line("fetching it", document * changes, "B/s", "document x changes/s")
  line("checking and parsing", open_ns / 1e6, "ms", "slopes of `cpu_time`; one pause of the control thread each change")
  line("the same as load", 100 * open_ns / 1e9 * changes, "% of a core", "x changes/s")
  line("upstreams taken in again (entry)", again / 1e6, "ms", "`add_upstreams_again/850`; further pause")
  line("kept bundle and document", bundle / mb, "MB", "slopes of `heap_bytes` + document")
  line("peak during the check", peak / mb, "MB", "slopes of `peak_bytes`")

  heading("Entry instance")
  line("requests", requests / entries, "/s", "13,000 / 360")
  line("open streams", streams, "", "requests/s x 246 tokens x 57 ms (reasoned)")
  line("links with open requests", 100 * busy, "%", "1 - exp(-streams / 850) (reasoned)")
  line("heartbeats to sidecars", link_rate * upstreams, "/s", "busy links / 0.5 s + other links / 1.5 s")
  line("heartbeats with entries", mesh_rate, "/s", "359 links out and 359 in, each / 0.5 s")
  line("bytes of one, with its answer", pair_costs, "B", "5 notices, 360 entry peers, 16 costs in the answer")
  entry_bytes = link_rate * upstreams * pair_costs + mesh_rate * pair
  line("heartbeat traffic", entry_bytes / 1000, "KB/s", "rates x bytes, both directions, without TLS and TCP headers")
  line("the same without the list of entries", (link_rate * upstreams * (pair_costs - slope["heartbeat_by_entries", "wire_bytes"] * entries) + mesh_rate * (pair - slope["heartbeat_by_entries", "wire_bytes"] * entries)) / 1000, "KB/s", "as above")
  line("heartbeat load", 100 * pair_cpu * (link_rate * upstreams + mesh_rate), "% of a core", "half the `cpu_time` of both ends, without TLS")
  line("memory: connections", end_bytes * (upstreams + 2 * (entries - 1)) / mb, "MB", "850 + 718 ends, without TLS")
  line("memory: upstream table", at("memory_upstream_table", "heap_bytes", upstreams) / mb, "MB", "slope")
  line("memory: metrics", metrics / mb, "MB", "840 accounts in 2 classes, slope")
  line("memory: sum with bundle and peak", (end_bytes * (upstreams + 2 * (entries - 1)) + at("memory_upstream_table", "heap_bytes", upstreams) + metrics + bundle + peak) / mb, "MB", "without code, TLS and streams")
  line("data path: token events", tokens / entries, "/s", "3.2 million / 360")
  line("data path: writing them", 100 * tokens / entries * at("write_answer_event", "cpu_time", token_bytes) / 1e9, "% of a core", "4 text bytes each")
  line("data path: route choices", 100 * requests / entries * at("choose_for_prompt", "cpu_time", upstreams) / 1e9, "% of a core", "one per request")

  heading("Sidecar")
  line("heartbeats from entries", link_rate * entries, "/s", "360 links, as above")
  line("heartbeat traffic", link_rate * entries * pair_costs / 1000, "KB/s", "both directions")
  line("heartbeat load", 100 * pair_cpu * link_rate * entries, "% of a core", "half the `cpu_time` of both ends")
  line("memory: connections", end_bytes * entries / mb, "MB", "360 ends, without TLS")
  line("memory: block index (engine)", at("memory_block_index", "heap_bytes", index_blocks) / mb, "MB", "200,000 blocks")
  line("memory: fair queue (engine)", at("memory_fair_queue", "heap_bytes", accounts) / mb, "MB", "8 waiting requests of each account")
  line("memory: metrics", metrics / mb, "MB", "as above")
  engine = end_bytes * entries + at("memory_block_index", "heap_bytes", index_blocks) + at("memory_fair_queue", "heap_bytes", accounts) + metrics + bundle + peak
  line("memory: sum beside an engine", engine / mb, "MB", "with bundle and peak; without code, TLS and streams")
  ledger = at("memory_order_ledger", "heap_bytes", claims)
  line("memory: order ledger (service)", ledger / mb, "MB", "default `max_claims` of 1,000,000, without answers")
  line("memory: sum beside a service", (end_bytes * entries + ledger + answers + metrics + bundle + peak) / mb, "MB", "with 32 MB of answers, bundle and peak")
  line("data path: engine events", tokens / upstreams, "/s", "3.2 million / 850")
  line("data path: reading them", 100 * tokens / upstreams * at("read_engine_event", "cpu_time", token_bytes) / 1e9, "% of a core", "4 text bytes each")

  heading("Operator commands")
  line("`bundle roll-out`, checks", 3 * open_ns / 1e6, "ms", "opens three documents (reasoned from the code)")
  line("proposed bundles kept", document * 3000 / mb, "MB/day", "document x 3,000; nothing removes them (reasoned)")
  line("platform calls of all changes", 7 * changes, "/s", "7 a change: 2 of `propose`, 2 of `sign-off`, 3 of `roll-out` (reasoned)")

  heading("Platform calls of the whole system")
  line("status writes, mean", processes * changes, "/s", "each process once a change (reasoned)")
  line("status writes after one change", processes, "", "within about the time a bundle needs to spread (reasoned)")
  line("regular reports", 0.25, "/s", "each sidecar beside a service, `kStatusInterval` 4 s (reasoned)")
  line("watches, started", 3 / (2 + 0.15), "/s", "3 watchers, 2 s wait and 0.1 to 0.2 s pause (reasoned)")
  line("watches, waiting", 3, "", "`kWatchers`; a few more while entries disagree")
  line("reads while `bundle/current` is invalid", processes / (2.5 * 1.5), "/s", "`kReadPause` 2.5 to 5 s (reasoned)")
  line("calls while the platform refuses at once", processes / (0.25 * 1.5), "/s", "`kRetryDelay` 0.25 to 0.5 s (reasoned)")
  line("calls while the platform times out", processes / (1 + 0.25 * 1.5), "/s", "`kCallTimeout` 1 s + `kRetryDelay` (reasoned)")

  entry_memory = end_bytes * (upstreams + 2 * (entries - 1)) + at("memory_upstream_table", "heap_bytes", upstreams) + metrics + bundle + peak
  service = end_bytes * entries + ledger + answers + metrics + bundle + peak
  bundle_load = 100 * open_ns / 1e9 * changes
  bundle_kb = document * changes / 1000
  print "\nControl budget of a node (measured parts only)\n"
  print "| role | resource | need | budget | fits |\n|---|---|---|---|---|"
  budget("entry", "processor: heartbeats", 100 * pair_cpu * (link_rate * upstreams + mesh_rate), "%", 3.3)
  budget("entry", "processor: bundle", bundle_load + 100 * again / 1e9 * changes, "%", 3.3)
  budget("entry", "memory", entry_memory / mb, "MB", 128)
  budget("entry", "traffic: heartbeats", entry_bytes / 1000, "KB/s", 4)
  budget("entry", "traffic: bundle", bundle_kb, "KB/s", 4)
  budget("sidecar", "processor: heartbeats", 100 * pair_cpu * link_rate * entries, "%", 3.3)
  budget("sidecar", "processor: bundle", bundle_load, "%", 3.3)
  budget("sidecar, engine", "memory", engine / mb, "MB", 128)
  budget("sidecar, service", "memory", service / mb, "MB", 128)
  budget("sidecar", "traffic: heartbeats", link_rate * entries * pair_costs / 1000, "KB/s", 4)
  budget("sidecar", "traffic: bundle", bundle_kb, "KB/s", 4)
}
