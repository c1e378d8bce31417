// JSON format of lease objects, and the state transitions on results of platform calls.

#include "commands/fenced_lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
#include "base/log_event.h"
#include "base/overloaded.h"
#include "commands/fencing_number.h"

namespace bluebellstep {

FencedLease::FencedLease(LeaseSettings settings) : settings_(std::move(settings)) {
  assert(!settings_.holder.empty());
  assert(settings_.term > settings_.send_margin);
}

void FencedLease::record_era(std::uint64_t era, Instant known_since, Instant now) {
  if (era < era_ || (era == era_ && known_since <= era_since_)) {
    return;
  }
  const bool raised = era > era_;
  no_wait_until_ = Instant{INT64_MIN};
  if (held_ && !is_releasing() && now < held_->valid_until && era == era_ + 1) {
    no_wait_until_ = held_->valid_until;
  }
  era_ = era;
  era_since_ = known_since;
  if (!raised) {
    return;
  }
  lose("store_restored");
  // A write of the earlier era may still take effect, but makes no holder.
  pending_write_.reset();
  observed_.reset();
  needs_read_ = true;
}

LeaseStep FencedLease::next(Instant now) {
  if (call_pending_) {
    return LeaseCallPending{};
  }
  if (held_ && now >= held_->valid_until) {
    lose("expired");
    needs_read_ = true;
  }
  if (!requested_ && !held_ && !pending_write_) {
    return LeaseIdle{};
  }
  if (now < not_before_) {
    return LeaseWait{not_before_};
  }
  if (needs_read_) {
    return start_read();
  }
  if (pending_write_) {
    return start_write();
  }
  return held_ ? next_held(now) : next_not_held(now);
}

LeaseStep FencedLease::next_held(Instant now) {
  if (requested_ && now < held_->renew_at) {
    return LeaseHeld{held_->renew_at};
  }
  prepare_write(held_->version, held_->fencing_number, !requested_, now);
  return start_write();
}

LeaseStep FencedLease::next_not_held(Instant now) {
  if (const Instant free = free_at(now); now < free) {
    needs_read_ = true;
    not_before_ = std::min(free, now + settings_.poll_interval);
    return LeaseWait{not_before_, true};
  }
  prepare_write(observed_->version, next_number(), false, now);
  return start_write();
}

Instant FencedLease::free_at(Instant now) const {
  const auto& record = observed_->record;
  if (!observed_->version.is_absent() && !record) {
    // A value of unknown format may be the lease of another program version and is never taken
    // over.
    return observed_->first_read_at + Duration{INT64_MAX / 4};
  }
  if (now < no_wait_until_ && !(record && is_of_this_era(*record))) {
    return Instant{INT64_MIN};
  }
  if (record && is_of_this_era(*record)) {
    const bool is_free = record->holder.empty() || record->holder == settings_.holder;
    return is_free
               ? Instant{INT64_MIN}
               : observed_->first_read_at + record->term + std::max(record->grace, settings_.grace);
  }
  // A late write of an earlier era may have replaced the object of a holder, who stops within the
  // term after it was first read.
  if (record) {
    return std::max(era_since_, observed_->first_read_at) + std::max(record->term, settings_.term) +
           std::max(record->grace, settings_.grace);
  }
  return era_ == 0 ? Instant{INT64_MIN} : era_since_ + settings_.term + settings_.grace;
}

bool FencedLease::is_releasing() const {
  return pending_write_ && pending_write_->record.holder.empty();
}

bool FencedLease::is_of_this_era(const Record& record) const {
  return FencingNumber::decode(record.fencing_number).era == FencingNumber::limit(era_);
}

std::uint64_t FencedLease::next_number() const {
  return FencingNumber::next(era_, highest_known_, settings_.holder, observed_->version.number)
      .encode();
}

LeaseStep FencedLease::start_read() {
  call_pending_ = true;
  return PlatformRead{settings_.object_key};
}

LeaseStep FencedLease::start_write() {
  call_pending_ = true;
  return PlatformWrite{settings_.object_key, pending_write_->expected,
                       format(pending_write_->record)};
}

void FencedLease::prepare_write(StoreRevision expected,
                                std::uint64_t number,
                                bool release,
                                Instant now) {
  const std::string holder = release ? "" : settings_.holder;
  pending_write_ = PendingWrite{
      expected, {holder, ++last_sequence_, number, settings_.term, settings_.grace}, now};
}

void FencedLease::on_read(const PlatformClient::ReadResult& result, Instant now) {
  call_pending_ = false;
  std::visit(Overloaded{[&](const std::optional<PlatformObject>& object) {
                          needs_read_ = false;
                          on_object(object.value_or(PlatformObject{}), now);
                        },
                        [&](const PlatformUnavailable&) { retry_later(now); }},
             result);
}

void FencedLease::on_write(const PlatformClient::WriteResult& result, Instant now) {
  call_pending_ = false;
  std::visit(Overloaded{[&](StoreRevision version) { on_written(version, now); },
                        [&](const VersionConflict& conflict) { on_object(conflict.current, now); },
                        [&](const PlatformUnavailable&) {
                          needs_read_ = true;  // The write may have taken effect.
                          retry_later(now);
                        }},
             result);
}

void FencedLease::on_object(const PlatformObject& object, Instant now) {
  const std::optional<Record> record = parse(object.value);
  if (record) {
    highest_known_ = std::max(highest_known_, record->fencing_number);
  }
  if (pending_write_ && record == pending_write_->record) {
    on_written(object.version, now);
    return;
  }
  if (!observed_ || observed_->version != object.version) {
    observed_ = Observed{object.version, record, now};
  }
  if (pending_write_ && object.version != pending_write_->expected) {
    pending_write_.reset();  // Its version precondition can no longer hold.
  }
  if (held_ && object.version != held_->version) {
    lose("replaced");
  }
}

void FencedLease::on_written(StoreRevision version, Instant now) {
  if (!pending_write_ || version.era != era_) {
    needs_read_ = true;  // The store was restored since the write was sent.
    return;
  }
  const PendingWrite written = *std::exchange(pending_write_, std::nullopt);
  const std::uint64_t number = written.record.fencing_number;
  observed_ = Observed{version, written.record, now};
  if (written.record.holder.empty()) {
    lose("released");
    return;
  }
  if (number < highest_known_) {
    lose("stale");
    retry_later(now);
    return;
  }
  if (!held_ || held_->fencing_number != number) {
    LogEvent("lease_changed")
        .field("lease", settings_.object_key)
        .field("holder", settings_.holder)
        .field("state", "held")
        .field("fence", number)
        .field("revision", to_string(version))
        .field("era", era_);
  }
  highest_known_ = number;
  no_wait_until_ = Instant{INT64_MIN};
  held_ = Held{version, number, written.first_sent_at + settings_.term / 2,
               written.first_sent_at + settings_.term};
}

void FencedLease::lose(std::string_view reason) {
  if (!held_) {
    return;
  }
  LogEvent("lease_changed")
      .field("lease", settings_.object_key)
      .field("holder", settings_.holder)
      .field("state", "lost")
      .field("why", reason)
      .field("fence", held_->fencing_number)
      .field("revision", to_string(held_->version))
      .field("era", era_);
  held_.reset();
}

void FencedLease::retry_later(Instant now) {
  not_before_ = now + settings_.retry_delay;
}

bool FencedLease::may_act(Instant now) const {
  return requested_ && !is_releasing() && held_ && now + settings_.send_margin < held_->valid_until;
}

void FencedLease::report_stale(std::uint64_t highest) {
  highest_known_ = std::max(highest_known_, highest);
  if (held_ && held_->fencing_number < highest) {
    lose("stale");
    needs_read_ = true;
  }
}

void FencedLease::report_rejected(std::uint64_t number) {
  if (held_ && held_->fencing_number == number) {
    report_stale(number + 1);
  }
}

std::string FencedLease::format(const Record& record) {
  return nlohmann::json{{"holder", record.holder},
                        {"sequence", record.sequence},
                        {"fencing_number", record.fencing_number},
                        {"term_ms", record.term.ms},
                        {"grace_ms", record.grace.ms}}
      .dump();
}

std::optional<FencedLease::Record> FencedLease::parse(const std::string& value) {
  const auto json = parse_json(value);
  try {
    return Record{json.at("holder").get<std::string>(),
                  json.at("sequence").get<std::uint64_t>(),
                  json.at("fencing_number").get<std::uint64_t>(),
                  {json.at("term_ms").get<std::int64_t>()},
                  {json.at("grace_ms").get<std::int64_t>()}};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bluebellstep
