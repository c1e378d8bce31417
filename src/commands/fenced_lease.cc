// JSON format of lease objects, and the state transitions on results of platform calls.

#include "commands/fenced_lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
#include "base/overloaded.h"

namespace bluebellstep {

FencedLease::FencedLease(LeaseSettings settings) : settings_(std::move(settings)) {
  assert(!settings_.holder.empty());
  assert(settings_.term > settings_.send_margin);
}

LeaseStep FencedLease::next(Instant now) {
  if (call_pending_) {
    return LeaseCallPending{};
  }
  if (held_ && now >= held_->valid_until) {
    held_.reset();
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
  const auto& record = observed_->record;
  const bool is_absent = observed_->version == StoreRevision{};
  const bool is_own = record && record->holder == settings_.holder;
  if (!is_absent && !is_own && !(record && record->holder.empty())) {
    // A value of unknown format may be the lease of another program version and is never taken
    // over.
    const Duration wait_time =
        record ? record->term + std::max(record->grace, settings_.grace) : Duration{INT64_MAX / 4};
    const Instant free_at = observed_->first_read_at + wait_time;
    if (now < free_at) {
      needs_read_ = true;
      not_before_ = std::min(free_at, now + settings_.poll_interval);
      return LeaseWait{not_before_, true};
    }
  }
  const std::uint64_t last_number = record ? record->fencing_number : 0;
  prepare_write(observed_->version, std::max(last_number, highest_reported_) + 1, false, now);
  return start_write();
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
    held_.reset();
  }
}

void FencedLease::on_written(StoreRevision version, Instant now) {
  const PendingWrite written = *std::exchange(pending_write_, std::nullopt);
  observed_ = Observed{version, written.record, now};
  held_.reset();
  if (!written.record.holder.empty() && written.record.fencing_number >= highest_reported_) {
    held_ = Held{version, written.record.fencing_number, written.first_sent_at + settings_.term / 2,
                 written.first_sent_at + settings_.term};
  }
}

void FencedLease::retry_later(Instant now) {
  not_before_ = now + settings_.retry_delay;
}

bool FencedLease::may_act(Instant now) const {
  const bool releasing = pending_write_ && pending_write_->record.holder.empty();
  return requested_ && !releasing && held_ && now + settings_.send_margin < held_->valid_until;
}

void FencedLease::report_stale(std::uint64_t highest) {
  highest_reported_ = std::max(highest_reported_, highest);
  held_.reset();
  needs_read_ = true;
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
