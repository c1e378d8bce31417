// Lists and writes the objects about streams in the platform's store.

#include "stream_versions/stream_version_driver.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;

constexpr std::string_view kTableName = "versions";
constexpr std::string_view kRecordPrefix = "begun-";

std::string_view belief_text(const StreamBelief& belief) {
  return std::visit(Overloaded{[](const KnownVersion&) { return std::string_view("known"); },
                               [](const AskStore&) { return std::string_view("ask_store"); },
                               [](const UnknownVersion& unknown) { return unknown.reason; }},
                    belief);
}

}  // namespace

StreamVersionDriver::StreamVersionDriver(HttpLoop& loop,
                                         HttpClient& client,
                                         const GatewaySettings& settings,
                                         Metrics& metrics,
                                         Gateway gateway)
    : loop_(loop),
      client_(client),
      settings_(settings),
      metrics_(metrics),
      gateway_(std::move(gateway)),
      directory_(settings.name) {}

std::string StreamVersionDriver::record_name(std::string_view gateway) {
  return std::string(kRecordPrefix).append(gateway);
}

void StreamVersionDriver::run_after(Duration delay, std::function<void()> task) {
  loop_.post_after(delay, [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
    if (!alive.expired()) {
      task();
    }
  });
}

void StreamVersionDriver::send(HttpCall call,
                               std::function<void(const HttpClient::Response&)> handler) {
  client_.send(std::move(call), [alive = std::weak_ptr<bool>(alive_),
                                 handler = std::move(handler)](HttpClient::Response response) {
    if (!alive.expired()) {
      handler(response);
    }
  });
}

void StreamVersionDriver::set_services(std::set<std::string, std::less<>> services) {
  const bool any = !services.empty();
  directory_.set_services(std::move(services));
  if (any && !started_) {
    started_ = true;
    read_list();
    plan_periodically();
  } else {
    refresh();
  }
}

void StreamVersionDriver::forget_gateway(const std::string& name) {
  const auto found = record_revisions_.find(name);
  if (found == record_revisions_.end()) {
    return;
  }
  // Callers may still come back for the streams in the record.
  run_after(BegunStreams::kAdoptedLifetime, [this, name, revision = found->second] {
    send(platform::remove_call(settings_.store, ObjectKind::kStreamVersions, record_name(name),
                               revision, kCallTimeout),
         [name](const HttpClient::Response& response) {
           LogEvent("stream_record_removed").field("gateway", name).field("status", response.status);
         });
  });
}

void StreamVersionDriver::on_report(std::string_view gateway, std::uint64_t epoch) {
  if (directory_.record_report(gateway, epoch, clock_.now()) && started_) {
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
    for (const auto& [version, epoch] : versions.admitted) {
      text.append(",").append(version);
    }
    event.field(service, text);
  }
  gateway_.report_soon();
  if (started_) {
    read_list();
  }
}

// Lists.

void StreamVersionDriver::read_list() {
  if (list_in_flight_) {
    list_again_ = true;
    return;
  }
  list_in_flight_ = true;
  list_again_ = false;
  list_asked_at_ = clock_.now();
  listed_ = {};
  listed_record_revision_ = 0;
  listed_record_.reset();
  listed_table_revision_ = 0;
  record_revisions_.clear();
  waiting_callers_ = std::exchange(later_callers_, {});
  send_list_call("");
}

void StreamVersionDriver::send_list_call(std::string after) {
  send(platform::list_call(settings_.store, ObjectKind::kStreamVersions, after, kCallTimeout),
       [this](const HttpClient::Response& response) {
         on_list_page(platform::decode_page(response));
       });
}

void StreamVersionDriver::on_list_page(platform::PageResult result) {
  if (const auto* fault = std::get_if<PlatformUnavailable>(&result)) {
    fail_list(*fault);
    return;
  }
  auto& page = std::get<platform::ObjectPage>(result);
  for (const platform::StoredObject& object : page.objects) {
    if (object.name == kTableName) {
      listed_.table = decode_version_table(object.content);
      listed_table_revision_ = object.revision;
    } else if (object.name.starts_with(kRecordPrefix)) {
      const std::string gateway = object.name.substr(kRecordPrefix.size());
      auto streams = decode_begun_streams(object.content);
      if (!streams) {
        LogEvent("stream_record_not_understood", LogEvent::Severity::kWarning)
            .field("gateway", gateway);
        streams.emplace();
      }
      listed_.gateways.insert(gateway);
      record_revisions_[gateway] = object.revision;
      listed_.begun.insert(streams->begin(), streams->end());
      if (gateway == settings_.name) {
        listed_record_revision_ = object.revision;
        listed_record_ = std::move(*streams);
      }
    }
  }
  if (page.continue_after) {
    send_list_call(std::move(*page.continue_after));
    return;
  }
  apply_list();
}

void StreamVersionDriver::apply_list() {
  const Instant now = clock_.now();
  directory_.record_store_answer(now);
  // Further lists start at the end: `list_in_flight_` is still set.
  if (listed_.table) {
    apply_table(*listed_.table);
  }
  directory_.apply_snapshot(listed_, list_asked_at_, now);
  if (!table_write_in_flight_) {
    table_revision_ = listed_table_revision_;
  }
  if (!record_write_in_flight_) {
    const bool first = !record_revision_;
    record_revision_ = listed_record_revision_;
    if (first && listed_record_) {
      begun_streams_.adopt(*listed_record_, now);
    }
  }
  answer_waiting_callers(&listed_);
  list_in_flight_ = false;
  if (list_again_ || directory_.needs_gateways()) {
    read_list();
  }
  if (*record_revision_ == 0 || begun_streams_.needs_write()) {
    write_record();
  }
  plan_table();
}

void StreamVersionDriver::fail_list(const PlatformUnavailable& fault) {
  LogEvent("stream_list_failed", LogEvent::Severity::kWarning).field("why", fault.detail);
  answer_waiting_callers(nullptr);
  waiting_callers_ = std::exchange(later_callers_, {});
  answer_waiting_callers(nullptr);
  list_in_flight_ = false;
  if (list_again_ || !record_revision_ || directory_.needs_gateways()) {
    run_after(kRetryDelay, [this] { read_list(); });
  }
}

void StreamVersionDriver::answer_waiting_callers(const StreamSnapshot* snapshot) {
  for (const WaitingCaller& caller : std::exchange(waiting_callers_, {})) {
    const StreamBelief belief =
        snapshot == nullptr ? StreamBelief(UnknownVersion{"store_unavailable"})
                            : directory_.belief(caller.service, caller.stream, *snapshot);
    metrics_.count("bluebellstep_gateway_stream_lookups_total", std::string(belief_text(belief)));
    caller.on_result(belief);
  }
}

// The table.

void StreamVersionDriver::refresh() {
  if (!started_) {
    return;
  }
  auto counts = gateway_.count_versions();
  std::erase_if(counts, [this](const auto& entry) { return !directory_.covers(entry.first); });
  planner_.set_counts(std::move(counts), clock_.now());
  plan_table();
}

void StreamVersionDriver::plan_periodically() {
  refresh();
  run_after(kPlanInterval, [this] { plan_periodically(); });
}

void StreamVersionDriver::plan_table() {
  const Instant now = clock_.now();
  if (!plan_due_ && planner_.plan(directory_.table(), now)) {
    const Duration delay =
        std::min(kMaxPlanDelay, kPlanDelayPerRank * static_cast<std::int64_t>(gateway_.rank()));
    plan_due_ = now + delay;
    run_after(delay, [this] {
      plan_due_.reset();
      const auto planned = planner_.plan(directory_.table(), clock_.now());
      if (planned && table_revision_ && !table_write_in_flight_ && gateway_.store_reachable()) {
        write_table(*planned);
      }
    });
  }
}

void StreamVersionDriver::write_table(const VersionTable& table) {
  table_write_in_flight_ = true;
  send(platform::write_call(settings_.store, ObjectKind::kStreamVersions, kTableName,
                            *table_revision_, encode_version_table(table), kCallTimeout),
       [this, table](const HttpClient::Response& response) {
         table_write_in_flight_ = false;
         std::visit(Overloaded{[&](ObjectVersion version) {
                                 table_revision_ = version.value;
                                 apply_table(table);
                               },
                               [&](const VersionConflict& conflict) {
                                 table_revision_ = conflict.current.version.value;
                                 apply_encoded_table(conflict.current.value);
                               },
                               [&](const PlatformUnavailable& fault) {
                                 // It may be carried out later; the next list tells.
                                 LogEvent("stream_versions_not_written",
                                          LogEvent::Severity::kWarning)
                                     .field("why", fault.detail);
                                 table_revision_.reset();
                                 run_after(kRetryDelay, [this] { read_list(); });
                               }},
                    platform::decode_write(response));
       });
}

// The record.

bool StreamVersionDriver::can_record() const {
  return record_revision_.has_value() && begun_streams_.has_room() &&
         clock_.now() >= record_held_until_ && gateway_.store_reachable();
}

std::vector<std::string> StreamVersionDriver::usable_versions(std::string_view service) {
  return directory_.usable_versions(service, can_record(), clock_.now());
}

bool StreamVersionDriver::must_record(std::string_view service,
                                      std::string_view version,
                                      StreamKey stream) {
  // A record of an earlier attempt at another version may be in the store.
  return begun_streams_.contains(stream) ||
         directory_.begin_rule(service, version, true, clock_.now()) != BeginRule::kFree;
}

void StreamVersionDriver::record_version(StreamKey stream,
                                         std::string_view version,
                                         Instant expires_at,
                                         std::function<void(bool)> on_result) {
  waiting_records_.push_back(
      {.sequence = begun_streams_.add(stream, version, expires_at),
       .on_result = std::move(on_result)});
  write_record();
}

void StreamVersionDriver::record_begun(StreamKey stream,
                                       std::string_view version,
                                       Instant expires_at) {
  directory_.record_begun(stream, version, expires_at, clock_.now());
}

void StreamVersionDriver::write_record() {
  if (record_write_in_flight_ || record_write_scheduled_ || !record_revision_) {
    return;
  }
  const Duration interval =
      std::max(kWriteInterval, kWriteIntervalPerGateway *
                                   static_cast<std::int64_t>(directory_.gateway_count()));
  const Instant now = clock_.now();
  const Instant due = record_sent_at_ + interval;
  if (now >= due) {
    send_record();
    return;
  }
  record_write_scheduled_ = true;
  run_after(due - now, [this] {
    record_write_scheduled_ = false;
    send_record();
  });
}

void StreamVersionDriver::send_record() {
  if (!record_revision_) {
    fail_waiting_records();
    return;
  }
  record_write_in_flight_ = true;
  record_sent_at_ = clock_.now();
  send(platform::write_call(settings_.store, ObjectKind::kStreamVersions, record_name(settings_.name),
                            *record_revision_, begun_streams_.take_content(record_sent_at_),
                            kCallTimeout),
       [this](const HttpClient::Response& response) {
         record_write_in_flight_ = false;
         on_record_written(platform::decode_write(response));
       });
}

void StreamVersionDriver::on_record_written(const PlatformClient::WriteResult& result) {
  std::visit(Overloaded{[&](ObjectVersion version) {
                          const bool created = *record_revision_ == 0;
                          record_revision_ = version.value;
                          begun_streams_.record_written();
                          directory_.record_store_answer(clock_.now());
                          if (created) {
                            read_list();
                          }
                        },
                        [&](const VersionConflict& conflict) {
                          // A write whose answer was lost, or one of the process before this one.
                          record_revision_ = conflict.current.version.value;
                          if (const auto streams = decode_begun_streams(conflict.current.value)) {
                            begun_streams_.adopt(*streams, clock_.now());
                          }
                          begun_streams_.record_failed();
                          send_record();
                        },
                        [&](const PlatformUnavailable& fault) {
                          LogEvent("stream_record_not_written", LogEvent::Severity::kWarning)
                              .field("streams", static_cast<std::uint64_t>(begun_streams_.size()))
                              .field("why", fault.detail);
                          begun_streams_.record_failed();
                          record_held_until_ = clock_.now() + kRetryDelay;
                          fail_waiting_records();
                        }},
             result);
  answer_waiting_records();
  if (!record_write_in_flight_ && !waiting_records_.empty()) {
    write_record();
  }
}

void StreamVersionDriver::answer_waiting_records() {
  std::vector<WaitingRecord> waiting = std::exchange(waiting_records_, {});
  const BegunStreams::Sequence written = begun_streams_.written_sequence();
  std::vector<WaitingRecord> ready;
  for (WaitingRecord& record : waiting) {
    (record.sequence <= written ? ready : waiting_records_).push_back(std::move(record));
  }
  for (const WaitingRecord& record : ready) {
    record.on_result(true);
  }
}

void StreamVersionDriver::fail_waiting_records() {
  for (const WaitingRecord& record : std::exchange(waiting_records_, {})) {
    record.on_result(false);
  }
}

// Callers that come back.

void StreamVersionDriver::find_version(std::string_view service,
                                       std::optional<StreamKey> stream,
                                       std::function<void(StreamBelief)> on_result) {
  const StreamBelief belief = directory_.belief(service, stream, clock_.now());
  if (!std::holds_alternative<AskStore>(belief)) {
    metrics_.count("bluebellstep_gateway_stream_lookups_total", "without_store");
    on_result(belief);
    return;
  }
  if (!gateway_.store_reachable()) {
    metrics_.count("bluebellstep_gateway_stream_lookups_total", "store_unavailable");
    on_result(UnknownVersion{"store_unavailable"});
    return;
  }
  later_callers_.push_back(
      {.service = std::string(service), .stream = stream, .on_result = std::move(on_result)});
  read_list();
}

}  // namespace bluebellstep
