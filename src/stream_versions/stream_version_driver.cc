// Lists the objects about streams in the platform's store, and writes the table of versions.

#include "stream_versions/stream_version_driver.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

constexpr std::string_view kTableName = "versions";

std::string_view belief_text(const StreamBelief& belief) {
  return std::visit(Overloaded{[](const KnownVersion&) { return std::string_view("known"); },
                               [](const AskStore&) { return std::string_view("ask_store"); },
                               [](const UnknownVersion& unknown) { return unknown.reason; }},
                    belief);
}

}  // namespace

StreamVersionDriver::StreamVersionDriver(HttpLoop& loop,
                                         ObjectStoreClient& client,
                                         const GatewaySettings& settings,
                                         Metrics& metrics,
                                         Environment environment)
    : loop_(loop),
      client_(client),
      settings_(settings),
      metrics_(metrics),
      environment_(std::move(environment)),
      directory_(settings.name),
      record_writer_(loop,
                     client,
                     settings,
                     {.on_created =
                          [this] {
                            directory_.record_joined(clock_.now());
                            read_list();
                          },
                      .on_failed =
                          [this] {
                            reachable_ = false;
                            read_list();
                          }}) {
  client_.on_era_raised([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      update_era();
      if (started_) {
        read_list();
      }
    }
  });
}

void StreamVersionDriver::update_era() {
  const StoreEra& era = client_.era();
  if (era.number() > directory_.records().era()) {
    const Instant now = clock_.now();
    if (era.restored()) {
      directory_.raise_era(era.number(), era.known_since().value_or(now), now);
    } else {
      directory_.start_in_era(era.number(), era.known_since().value_or(now));
    }
    planner_.set_era(era.number());
  }
}

void StreamVersionDriver::run_after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

void StreamVersionDriver::send(platform::StoreCall call,
                               std::function<void(const platform::StoreAnswer&)> handler) {
  client_.send(std::move(call), [alive = std::weak_ptr<bool>(alive_), handler = std::move(handler)](
                                    const platform::StoreAnswer& response) {
    if (!alive.expired()) {
      handler(response);
    }
  });
}

void StreamVersionDriver::add_services(const std::set<std::string, std::less<>>& services) {
  directory_.add_services(services);
  if (services.empty() || std::exchange(started_, true)) {
    refresh();
    return;
  }
  read_list();
  plan_periodically();
}

void StreamVersionDriver::on_report(std::string_view gateway, std::uint64_t epoch) {
  if (directory_.record_report(gateway, epoch, clock_.now()) && started_) {
    read_list();
  }
}

void StreamVersionDriver::set_registered(std::set<std::string, std::less<>> names) {
  directory_.set_registered(names);
  registered_ = std::move(names);
}

void StreamVersionDriver::on_registration_lost() {
  directory_.forget_gateways();
  // Others may have trusted their tables without this gateway meanwhile.
  directory_.record_joined(clock_.now());
  if (started_) {
    read_list();
  }
}

std::string StreamVersionDriver::encoded_table() const {
  return epoch() == 0 ? std::string() : encode_version_table(directory_.table());
}

void StreamVersionDriver::apply_encoded_table(std::string_view text) {
  if (const auto table = decode_version_table(text)) {
    apply_table(*table);
  }
}

void StreamVersionDriver::apply_table(const VersionTable& table) {
  if (!directory_.apply_table(table, clock_.now())) {
    return;
  }
  LogEvent event("stream_versions");
  event.field("epoch", table.epoch);
  for (const auto& [service, versions] : table.services) {
    std::string text = versions.default_version;
    for (const auto& [version, state] : versions.admitted) {
      text.append(state.withdrawn ? ",-" : ",").append(version);
    }
    event.field(service, text);
  }
  environment_.report_soon();
  // What the table admits is used once the gateways are known as of now.
  if (started_) {
    read_list();
  }
}

// Lists.

void StreamVersionDriver::read_list() {
  if (list_scheduled_) {
    return;
  }
  list_scheduled_ = true;
  if (list_) {
    return;  // `apply_list` or `fail_list` reads the next one.
  }
  const Duration interval =
      std::max(kListInterval,
               kListIntervalPerGateway * static_cast<std::int64_t>(directory_.gateway_count()));
  const Instant due = list_asked_at_ + (reachable_ ? interval : kRetryDelay);
  run_after(std::max(Duration{0}, due - clock_.now()), [this] {
    list_scheduled_ = false;
    list_asked_at_ = clock_.now();
    list_.emplace(List{.asked_at = list_asked_at_, .callers = std::exchange(waiting_callers_, {})});
    send_list_call("");
  });
}

void StreamVersionDriver::send_list_call(std::string_view after) {
  send(platform::list_call(settings_.store, ObjectKind::kStreamVersions, after, kCallTimeout),
       [this](const platform::StoreAnswer& response) {
         on_list_page(platform::decode_page(response));
       });
}

void StreamVersionDriver::on_list_page(platform::PageResult result) {
  if (const auto* fault = std::get_if<PlatformUnavailable>(&result)) {
    fail_list(*fault);
    return;
  }
  const auto& page = std::get<platform::ObjectPage>(result);
  if (!std::exchange(list_->has_pages, true)) {
    list_->snapshot.era = page.store_revision.era;
  } else if (list_->snapshot.era != page.store_revision.era) {
    fail_list({.detail = "store restored"});
    return;
  }
  for (const platform::StoredObject& object : page.objects) {
    read_object(object);
  }
  if (page.continue_after) {
    send_list_call(*page.continue_after);
  } else {
    apply_list();
  }
}

void StreamVersionDriver::read_object(const platform::StoredObject& object) {
  if (object.name == kTableName) {
    list_->snapshot.table = decode_version_table(object.content);
    list_->table_revision = object.revision;
    return;
  }
  const std::string prefix = StreamRecordWriter::object_name("");
  if (!object.name.starts_with(prefix)) {
    return;
  }
  const std::string gateway = object.name.substr(prefix.size());
  const auto record = decode_begun_streams(object.content);
  list_->snapshot.add_record(gateway, record);
  if (!record) {
    LogEvent("stream_record_not_understood", LogEvent::Severity::kWarning)
        .field("gateway", gateway);
  }
  list_->record_revisions[gateway] = object.revision;
  if (gateway == settings_.name) {
    list_->record_revision = object.revision;
    list_->record = record.value_or(StreamRecord{.complete = false});
  }
}

void StreamVersionDriver::apply_list() {
  const Instant now = clock_.now();
  List list = std::move(*list_);
  reachable_ = true;
  update_era();
  directory_.record_store_answer(list.asked_at);
  if (list.snapshot.table) {
    apply_table(*list.snapshot.table);
  }
  directory_.apply_snapshot(list.snapshot, list.asked_at, now);
  record_writer_.set_gateway_count(directory_.gateway_count());
  record_writer_.set_listed(list.record_revision, list.record);
  if (directory_.records().has_table()) {
    record_writer_.set_era(directory_.records().era(), directory_.records().lost_nothing());
  }
  if (!table_write_in_flight_) {
    table_revision_ = list.table_revision;
    if (const auto lost = directory_.lost_table(list.snapshot.table)) {
      // The store holds an older state than it did, and may have lost the record too.
      write_table(*lost);
      record_writer_.rewrite();
    }
  }
  remove_old_records(list);
  answer(std::move(list.callers), &list.snapshot);
  list_.reset();
  const bool again = std::exchange(list_scheduled_, false);
  if (again || directory_.needs_gateways()) {
    read_list();
  }
  read_missing_records();
  plan_table();
}

void StreamVersionDriver::read_missing_records() {
  const Instant now = clock_.now();
  if (directory_.may_change_table(now) ||
      now >= directory_.records().since() + VersionTablePlanner::kSettleTime ||
      std::exchange(records_scheduled_, true)) {
    return;
  }
  const Duration delay =
      std::max(kRecordsInterval,
               kRecordsIntervalPerGateway * static_cast<std::int64_t>(directory_.gateway_count()));
  run_after(delay, [this] {
    records_scheduled_ = false;
    read_list();
  });
}

void StreamVersionDriver::fail_list(const PlatformUnavailable& fault) {
  LogEvent("stream_list_failed", LogEvent::Severity::kWarning).field("why", fault.detail);
  reachable_ = false;
  answer(std::move(list_->callers), nullptr);
  answer(std::exchange(waiting_callers_, {}), nullptr);
  list_.reset();
  list_scheduled_ = false;
  environment_.ask_peer();
  // A list that succeeds is the sign that streams can be recorded again.
  if (epoch() == 0 || directory_.admits_any() || !record_writer_.can_add() ||
      !directory_.may_change_table(clock_.now())) {
    read_list();
  }
}

void StreamVersionDriver::answer(std::vector<WaitingCaller> callers,
                                 const StreamSnapshot* snapshot) {
  const Instant now = clock_.now();
  for (const WaitingCaller& caller : callers) {
    const bool too_late = now > caller.came_at + StreamVersionDirectory::kMaxLookupTime;
    const StreamBelief belief = snapshot == nullptr || too_late
                                    ? StreamBelief(UnknownVersion{"store_unavailable"})
                                    : directory_.belief(caller.service, caller.stream, *snapshot);
    metrics_.count("bluebellstep_gateway_stream_lookups_total", std::string(belief_text(belief)));
    caller.on_result(belief);
  }
}

void StreamVersionDriver::remove_old_records(const List& list) {
  const Instant now = clock_.now();
  std::erase_if(unregistered_since_, [&](const auto& entry) {
    return registered_.contains(entry.first) || !list.record_revisions.contains(entry.first);
  });
  for (const auto& [gateway, revision] : list.record_revisions) {
    if (registered_.empty() || registered_.contains(gateway)) {
      continue;
    }
    const auto [unregistered, added] =
        unregistered_since_.try_emplace(gateway, UnregisteredRecord{revision, now});
    if (unregistered->second.revision != revision) {
      unregistered->second = {revision, now};  // The gateway still writes it.
    }
    if (now < unregistered->second.since + kRecordRemovalDelay || environment_.rank() != 0) {
      continue;
    }
    remove_record(gateway, revision);
  }
}

void StreamVersionDriver::remove_record(const std::string& gateway, StoreRevision revision) {
  // The registrations that this gateway knows may be older than an outage of the store.
  send(platform::read_call(settings_.store, ObjectKind::kGateways, gateway, kCallTimeout),
       [this, gateway, revision](const platform::StoreAnswer& response) {
         const auto result = platform::decode_read(response);
         const auto* registration = std::get_if<std::optional<PlatformObject>>(&result);
         if (registration == nullptr || *registration) {
           return;
         }
         send(platform::remove_call(settings_.store, ObjectKind::kStreamVersions,
                                    StreamRecordWriter::object_name(gateway), revision,
                                    kCallTimeout),
              [gateway](const platform::StoreAnswer& removal) {
                LogEvent("stream_record_removed")
                    .field("gateway", gateway)
                    .field("status", removal.response.status);
              });
       });
}

// The table.

void StreamVersionDriver::refresh() {
  if (!started_) {
    return;
  }
  auto counts = environment_.count_versions();
  std::erase_if(counts, [this](const auto& entry) { return !directory_.covers(entry.first); });
  planner_.set_counts(std::move(counts), clock_.now());
  plan_table();
}

void StreamVersionDriver::plan_periodically() {
  refresh();
  record_writer_.refresh();
  run_after(kPlanInterval, [this] { plan_periodically(); });
}

void StreamVersionDriver::plan_table() {
  const auto plan = [this] {
    const Instant now = clock_.now();
    return directory_.may_change_table(now)
               ? planner_.plan(
                     directory_.table(),
                     [this, now](std::uint64_t epoch) { return directory_.known_for(epoch, now); },
                     now)
               : std::nullopt;
  };
  if (plan_scheduled_ || !plan()) {
    return;
  }
  plan_scheduled_ = true;
  const Duration delay =
      std::min(kMaxPlanDelay, kPlanDelayPerRank * static_cast<std::int64_t>(environment_.rank()));
  run_after(delay, [this, plan] {
    plan_scheduled_ = false;
    const auto planned = plan();
    if (planned && table_revision_ && !table_write_in_flight_ && reachable_) {
      write_table(*planned);
    }
  });
}

void StreamVersionDriver::write_table(const VersionTable& table) {
  table_write_in_flight_ = true;
  send(platform::write_call(settings_.store, ObjectKind::kStreamVersions, kTableName,
                            *table_revision_, encode_version_table(table), kCallTimeout),
       [this, table](const platform::StoreAnswer& response) {
         table_write_in_flight_ = false;
         std::visit(
             Overloaded{[&](StoreRevision version) {
                          table_revision_ = version;
                          apply_table(table);
                        },
                        [&](const VersionConflict& conflict) {
                          table_revision_ = conflict.current.version;
                          apply_encoded_table(conflict.current.value);
                          if (decode_version_table(conflict.current.value) != directory_.table()) {
                            read_list();  // The store has lost the known table.
                          }
                        },
                        [&](const PlatformUnavailable& fault) {
                          // It may be carried out later; the next list tells.
                          LogEvent("stream_versions_not_written", LogEvent::Severity::kWarning)
                              .field("why", fault.detail);
                          table_revision_.reset();
                          reachable_ = false;
                          read_list();
                        }},
             platform::decode_write(response));
       });
}

// Streams that begin.

std::vector<std::string> StreamVersionDriver::usable_versions(std::string_view service) {
  directory_.record_store_answer(environment_.store_answered_at());
  return directory_.usable_versions(service, reachable_ && record_writer_.can_add(), clock_.now());
}

bool StreamVersionDriver::must_record(std::string_view service,
                                      std::string_view version,
                                      StreamKey stream) {
  // A record of an earlier attempt at another version may be in the store.
  return record_writer_.contains(stream) ||
         directory_.begin_rule(service, version, true, clock_.now()) != BeginRule::kFree;
}

void StreamVersionDriver::record_version(StreamKey stream,
                                         std::string_view version,
                                         Instant expires_at,
                                         std::function<void(bool)> on_result) {
  record_writer_.add(stream, version, expires_at, std::move(on_result));
}

void StreamVersionDriver::note_begun(StreamKey stream,
                                     std::string_view version,
                                     Instant expires_at) {
  directory_.note_begun(stream, version, expires_at, clock_.now());
}

// Callers that come back.

void StreamVersionDriver::find_version(std::string_view service,
                                       std::optional<StreamKey> stream,
                                       std::function<void(StreamBelief)> on_result) {
  directory_.record_store_answer(environment_.store_answered_at());
  const StreamBelief belief = directory_.belief(service, stream, clock_.now());
  if (!std::holds_alternative<AskStore>(belief)) {
    metrics_.count("bluebellstep_gateway_stream_lookups_total", "without_store");
    on_result(belief);
    return;
  }
  if (!reachable_ && clock_.now() < list_asked_at_ + kCallTimeout + kRetryDelay) {
    metrics_.count("bluebellstep_gateway_stream_lookups_total", "store_unavailable");
    on_result(UnknownVersion{"store_unavailable"});
    return;
  }
  waiting_callers_.push_back({.service = std::string(service),
                              .stream = stream,
                              .came_at = clock_.now(),
                              .on_result = std::move(on_result)});
  read_list();
}

}  // namespace bluebellstep
