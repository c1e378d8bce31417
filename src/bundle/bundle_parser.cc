// Parsing and validation of bundles.

#include "bundle/bundle_parser.h"

#include <boost/leaf/error.hpp>
#include <cmath>
#include <set>
#include <unordered_set>

namespace bluebellstep {
namespace {

using Section = SettingsReader::Section;
using NameSet = std::unordered_set<std::string, StringHash, std::equal_to<>>;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::string_view kNameRule =
    "a name of up to 64 letters, digits, dots, dashes and underscores";

bool is_name(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

// Reads a name. Allows only characters that are safe in keys, paths, metrics and log lines.
void read_name(Section& section, std::string_view key, std::string& out) {
  section.read(key, out);
  if (!out.empty() && !is_name(out)) {
    section.add_error(key, kNameRule);
  }
}

void read_names(Section& section,
                std::string_view key,
                std::vector<std::string>& out,
                Presence presence) {
  section.read(key, out, presence);
  NameSet seen;
  for (const std::string& name : out) {
    if (!is_name(name)) {
      section.add_error(key, name, kNameRule);
    } else if (!seen.insert(name).second) {
      section.add_error(key, name, "each name at most once");
    }
  }
}

// Reads the value of the key `name` and adds it to `names`, which must not contain it yet.
void read_unique_name(Section& section, NameSet& names, std::string& out) {
  read_name(section, "name", out);
  if (!out.empty() && !names.insert(out).second) {
    section.add_error("name", "a name that is unique in this list");
  }
}

void read_reference(Section& section,
                    std::string_view key,
                    const NameSet& names,
                    std::string_view expected,
                    std::string& out) {
  section.read(key, out);
  if (!out.empty() && !names.contains(out)) {
    section.add_error(key, expected);
  }
}

bool is_lower_hex_digest(std::string_view text) {
  return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/** Reads one bundle. The sets contain the names read so far. */
class BundleReader {
 public:
  BundleReader(std::string_view file, std::string_view text) : reader_(file, text) {}

  SettingsErrors run(Bundle& bundle) {
    Section root = reader_.root();
    root.read("generation", bundle.generation, Presence::kRequired, {1, 1ull << 62});
    read_name(root, "author", bundle.author);
    for (Section& section : root.sections("zones")) {
      bundle.zones.push_back(read_zone(section));
    }
    for (Section& section : root.sections("accounts")) {
      bundle.accounts.push_back(read_account(section));
    }
    for (Section& section : root.sections("models", Presence::kOptional)) {
      bundle.models.push_back(read_model(section));
    }
    // Services and upstreams reference each other, so the names of services are read first.
    std::vector<Section> services = root.sections("services", Presence::kOptional);
    for (Section& section : services) {
      bundle.services.emplace_back();
      read_unique_name(section, services_, bundle.services.back().name);
    }
    for (Section& section : root.sections("upstreams")) {
      bundle.upstreams.push_back(read_upstream(section));
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
      read_service(services[i], bundle, bundle.services[i]);
    }
    for (Section& section : root.sections("stores", Presence::kOptional)) {
      bundle.stores.push_back(read_store(section));
    }
    if (auto limits = root.section("limits", Presence::kOptional)) {
      read_limits(*limits, bundle.limits);
    }
    return reader_.finish();
  }

 private:
  BundleZone read_zone(Section& section) {
    BundleZone zone;
    read_unique_name(section, zones_, zone.name);
    read_name(section, "region", zone.region);
    section.read("in_service", zone.in_service);
    section.read("serial", zone.serial, Presence::kRequired, {0, 1ull << 62});
    return zone;
  }

  BundleAccount read_account(Section& section) {
    BundleAccount account;
    read_unique_name(section, accounts_, account.name);
    section.read("share", account.share);
    if (!(account.share >= 1e-6 && account.share <= 1e6)) {
      section.add_error("share", "a number from 0.000001 to 1000000");
    }
    std::uint32_t priority = 0;
    section.read("priority", priority, Presence::kOptional, {0, 100});
    account.priority = static_cast<std::int32_t>(priority);
    section.read("credential_sha256", account.credential_sha256);
    const std::string& digest = account.credential_sha256;
    if (!digest.empty() && !is_lower_hex_digest(digest)) {
      section.add_error("credential_sha256", "64 lower-case hexadecimal digits");
    } else if (!digest.empty() && !credentials_.insert(digest).second) {
      // Accounts are identified by their credential.
      section.add_error("credential_sha256", "a credential that no other account has");
    }
    read_names(section, "classes", account.classes, Presence::kOptional);
    return account;
  }

  BundleModel read_model(Section& section) {
    BundleModel model;
    read_unique_name(section, models_, model.name);
    read_name(section, "weight_version", model.weight_version);
    read_names(section, "further_versions", model.further_versions, Presence::kOptional);
    for (const std::string& version : model.further_versions) {
      if (version == model.weight_version) {
        section.add_error("further_versions", version, "versions other than weight_version");
      }
    }
    return model;
  }

  BundleUpstream read_upstream(Section& section) {
    BundleUpstream upstream;
    read_unique_name(section, upstreams_, upstream.name);
    read_reference(section, "zone", zones_, "a zone of this bundle", upstream.zone);
    section.read_choice<UpstreamKind>(
        "kind", upstream.kind,
        {{"engine", UpstreamKind::kEngine}, {"service", UpstreamKind::kService}});
    if (upstream.kind == UpstreamKind::kService) {
      read_reference(section, "service", services_, "a service of this bundle", upstream.service);
    } else {
      read_model_names(section, upstream.models);
    }
    section.read("rpc", upstream.rpc);
    if (upstream.rpc.port != 0 &&
        !endpoints_.insert(upstream.rpc.ip + " " + std::to_string(upstream.rpc.port)).second) {
      section.add_error("rpc", "an endpoint that no other upstream has");
    }
    return upstream;
  }

  void read_model_names(Section& section, std::vector<std::string>& out) {
    read_names(section, "models", out, Presence::kRequired);
    for (const std::string& model : out) {
      if (!models_.contains(model)) {
        section.add_error("models", model, "a model of this bundle");
      }
    }
  }

  void read_service(Section& section, const Bundle& bundle, BundleService& service) {
    for (Section& table : section.sections("order_tables", Presence::kOptional)) {
      read_order_table(table, service);
    }
    if (!service.order_tables.empty()) {
      check_owners(section, bundle, service);
    }
    read_paths(section, "idempotent_paths", service.idempotent_paths);
    read_paths(section, "non_idempotent_paths", service.non_idempotent_paths);
    for (const std::string& path : service.idempotent_paths) {
      const auto& others = service.non_idempotent_paths;
      if (std::find(others.begin(), others.end(), path) != others.end()) {
        section.add_error("idempotent_paths", path,
                          "a path that is not also in non_idempotent_paths");
      }
    }
  }

  void read_order_table(Section& section, BundleService& service) {
    BundleOrderTable table;
    std::uint64_t effective_ms = 0;
    section.read("effective_ms", effective_ms, Presence::kRequired, {0, 1ull << 50});
    table.effective.ms = static_cast<std::int64_t>(effective_ms);
    if (!service.order_tables.empty() && service.order_tables.back().effective >= table.effective) {
      section.add_error("effective_ms", "a time later than that of the previous table");
    }
    read_names(section, "upstreams", table.upstreams, Presence::kRequired);
    if (table.upstreams.empty()) {
      section.add_error("upstreams", "at least one upstream");
    }
    service.order_tables.push_back(std::move(table));
  }

  // Earlier tables may name upstreams that have been removed; `check_succession` checks the tables
  // that are in force.
  static void check_owners(Section& section, const Bundle& bundle, const BundleService& service) {
    for (const std::string& owner : service.order_tables.back().upstreams) {
      const BundleUpstream* const upstream = find_by_name(bundle.upstreams, owner);
      if (upstream == nullptr || upstream->service != service.name) {
        section.add_error("order_tables", owner,
                          "only upstreams of this service in the last table");
      }
    }
  }

  static void read_paths(Section& section, std::string_view key, std::vector<std::string>& out) {
    section.read(key, out, Presence::kOptional);
    for (const std::string& path : out) {
      if (path.front() != '/') {
        section.add_error(key, path, "paths that start with /");
      }
    }
  }

  BundleStore read_store(Section& section) {
    BundleStore store;
    read_unique_name(section, stores_, store.name);
    read_reference(section, "zone", zones_, "a zone of this bundle", store.zone);
    section.read("endpoint", store.endpoint);
    const NumberRange rate = {1, 1ull << 50};
    section.read_size("memory_link_bytes_per_s", store.memory_link_bytes_per_s, Presence::kRequired,
                      rate);
    section.read_size("disk_link_bytes_per_s", store.disk_link_bytes_per_s, Presence::kRequired,
                      rate);
    return store;
  }

  static void read_limits(Section& section, BundleLimits& limits) {
    section.read("request_deadline", limits.request_deadline, Presence::kOptional);
    if (limits.request_deadline < 1_s || limits.request_deadline > 86'400_s) {
      section.add_error("request_deadline", "a duration from 1s to 24h");
    }
    section.read_size("max_prompt_bytes", limits.max_prompt_bytes, Presence::kOptional,
                      {1, 1ull << 30});
    section.read("max_tokens", limits.max_tokens, Presence::kOptional, {1, 1u << 24});
    section.read("max_queued_per_account", limits.max_queued_per_account, Presence::kOptional,
                 {1, 1u << 24});
  }

  SettingsReader reader_;
  NameSet zones_;
  NameSet accounts_;
  NameSet credentials_;
  NameSet models_;
  NameSet services_;
  NameSet upstreams_;
  NameSet endpoints_;
  NameSet stores_;
};

/** Collects the reasons why a bundle must not replace another. */
class SuccessionChecker {
 public:
  SuccessionChecker(const std::string& file,
                    const Bundle& previous,
                    const Bundle& next,
                    Instant now)
      : file_(file), previous_(previous), next_(next), now_(now) {}

  SettingsErrors run() {
    if (next_.generation <= previous_.generation) {
      add("generation", std::to_string(next_.generation),
          "a generation above " + std::to_string(previous_.generation));
    }
    for (const BundleZone& zone : next_.zones) {
      check_zone(zone);
    }
    for (const BundleService& service : previous_.services) {
      // Without its order tables, the owners of the service's existing keys would be unknown.
      if (!service.order_tables.empty() && find_by_name(next_.services, service.name) == nullptr) {
        add("services", "nothing", "service " + service.name + ", since it has order tables");
      }
    }
    for (const BundleService& service : next_.services) {
      check_tables(service);
    }
    return errors_;
  }

 private:
  void check_zone(const BundleZone& zone) {
    const BundleZone* const before = find_by_name(previous_.zones, zone.name);
    if (before == nullptr) {
      return;
    }
    const bool lower = zone.serial < before->serial;
    if (lower || (zone.serial == before->serial && zone.in_service != before->in_service)) {
      add("zones." + zone.name + ".serial", std::to_string(zone.serial),
          "a serial above " + std::to_string(before->serial) + ", or the same serial and state");
    }
  }

  void check_tables(const BundleService& service) {
    const BundleService* const before = find_by_name(previous_.services, service.name);
    const std::vector<BundleOrderTable> no_tables;
    const std::vector<BundleOrderTable>& old_tables = before ? before->order_tables : no_tables;
    const std::string key = "services." + service.name + ".order_tables";
    if (old_tables.size() > service.order_tables.size() ||
        !std::equal(old_tables.begin(), old_tables.end(), service.order_tables.begin())) {
      add(key, "changed or removed tables", "the tables of the previous bundle, unchanged");
      return;
    }
    for (std::size_t i = old_tables.size(); i < service.order_tables.size(); ++i) {
      const Instant effective = service.order_tables[i].effective;
      if (effective < now_ + kOrderTableLeadTime) {
        add(key, "effective_ms: " + std::to_string(effective.ms),
            "at least " + std::to_string((now_ + kOrderTableLeadTime).ms) + " for a new table");
      }
    }
    check_owners(service, key);
  }

  void check_owners(const BundleService& service, const std::string& key) {
    const std::size_t first = order_table_index(service.order_tables, now_).value_or(0);
    for (std::size_t i = first; i < service.order_tables.size(); ++i) {
      for (const std::string& owner : service.order_tables[i].upstreams) {
        const BundleUpstream* const upstream = find_by_name(next_.upstreams, owner);
        if (upstream == nullptr || upstream->service != service.name) {
          add(key, owner,
              "an upstream of this service, since the table is in force or takes effect later");
        }
      }
    }
  }

  void add(std::string key, std::string found, std::string expected) {
    errors_.errors.push_back({file_, 0, std::move(key), std::move(found), std::move(expected)});
  }

  const std::string& file_;
  const Bundle& previous_;
  const Bundle& next_;
  Instant now_;
  SettingsErrors errors_;
};

}  // namespace

boost::leaf::result<Bundle> BundleParser::parse(std::string_view text) const {
  if (text.size() > kMaxBundleBytes) {
    return boost::leaf::new_error(
        SettingsErrors{{{file_, 0, "", std::to_string(text.size()) + " bytes",
                         "at most " + std::to_string(kMaxBundleBytes) + " bytes"}}});
  }
  Bundle bundle;
  SettingsErrors errors = BundleReader(file_, text).run(bundle);
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return bundle;
}

boost::leaf::result<void> BundleParser::check_succession(const Bundle& previous,
                                                         const Bundle& next,
                                                         Instant now) const {
  SettingsErrors errors = SuccessionChecker(file_, previous, next, now).run();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return {};
}

bool order_tables_differ(const Bundle& previous, const Bundle& next) {
  const auto tables_of = [](const Bundle& bundle, const std::string& service) {
    const BundleService* const found = find_by_name(bundle.services, service);
    return found ? found->order_tables : std::vector<BundleOrderTable>();
  };
  const auto differs = [&](const BundleService& service) {
    return tables_of(previous, service.name) != tables_of(next, service.name);
  };
  return std::any_of(previous.services.begin(), previous.services.end(), differs) ||
         std::any_of(next.services.begin(), next.services.end(), differs);
}

}  // namespace bluebellstep
