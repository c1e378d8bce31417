// Lease objects as JSON text, and the decisions on what the platform returns.

#include "commands/fenced_lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/overloaded.h"

namespace bluebellstep {

FencedLease::FencedLease(LeaseSettings settings) : settings_(std::move(settings)) {
  assert(!settings_.holder.empty());
  assert(settings_.term > settings_.send_margin);
}

LeaseStep FencedLease::next(Instant now) {
  if (busy_) {
    return LeaseCallPending{};
  }
  if (held_ && now >= held_->valid_until) {
    held_.reset();
    must_read_ = true;
  }
  if (!wanted_ && !held_ && !pending_) {
    return LeaseIdle{};
  }
  if (now < not_before_) {
    return LeaseWait{not_before_};
  }
  if (must_read_) {
    return read_object();
  }
  if (pending_) {
    return write_object();
  }
  return held_ ? next_held(now) : next_free(now);
}

LeaseStep FencedLease::next_held(Instant now) {
  if (wanted_ && now < held_->renew_at) {
    return LeaseHeld{held_->renew_at};
  }
  start_write(held_->version, held_->fencing_number, !wanted_, now);
  return write_object();
}

LeaseStep FencedLease::next_free(Instant now) {
  const auto& record = observed_->record;
  const bool absent = observed_->version == ObjectVersion{};
  const bool own = record && record->holder == settings_.holder;
  if (!absent && !own && !(record && record->holder.empty())) {
    // A value that is not understood may be a lease of another version: it is never taken over.
    const Duration held_for =
        record ? record->term + std::max(record->grace, settings_.grace) : Duration{INT64_MAX / 4};
    const Instant free_at = observed_->since + held_for;
    if (now < free_at) {
      must_read_ = true;
      not_before_ = std::min(free_at, now + settings_.poll);
      return LeaseWait{not_before_, true};
    }
  }
  const std::uint64_t last = record ? record->fencing_number : 0;
  start_write(observed_->version, std::max(last, highest_seen_) + 1, false, now);
  return write_object();
}

LeaseStep FencedLease::read_object() {
  busy_ = true;
  return PlatformRead{settings_.object_key};
}

LeaseStep FencedLease::write_object() {
  busy_ = true;
  return PlatformWrite{settings_.object_key, pending_->expected, format(pending_->record)};
}

void FencedLease::start_write(ObjectVersion expected,
                              std::uint64_t number,
                              bool release,
                              Instant now) {
  const std::string holder = release ? "" : settings_.holder;
  pending_ =
      Pending{expected, {holder, ++last_sequence_, number, settings_.term, settings_.grace}, now};
}

void FencedLease::on_read(const PlatformClient::ReadResult& result, Instant now) {
  busy_ = false;
  std::visit(Overloaded{[&](const std::optional<PlatformObject>& object) {
                          must_read_ = false;
                          observe(object.value_or(PlatformObject{}), now);
                        },
                        [&](const PlatformUnavailable&) { retry_later(now); }},
             result);
}

void FencedLease::on_write(const PlatformClient::WriteResult& result, Instant now) {
  busy_ = false;
  std::visit(Overloaded{[&](ObjectVersion version) { on_written(version, now); },
                        [&](const VersionConflict& conflict) { observe(conflict.current, now); },
                        [&](const PlatformUnavailable&) {
                          must_read_ = true;  // The write may have taken effect.
                          retry_later(now);
                        }},
             result);
}

void FencedLease::observe(const PlatformObject& object, Instant now) {
  const std::optional<Record> record = parse(object.value);
  if (pending_ && record == pending_->record) {
    on_written(object.version, now);
    return;
  }
  if (!observed_ || observed_->version != object.version) {
    observed_ = Observed{object.version, record, now};
  }
  if (pending_ && object.version != pending_->expected) {
    pending_.reset();  // It can never take effect now.
  }
  if (held_ && object.version != held_->version) {
    held_.reset();
  }
}

void FencedLease::on_written(ObjectVersion version, Instant now) {
  const Pending written = *std::exchange(pending_, std::nullopt);
  observed_ = Observed{version, written.record, now};
  held_.reset();
  if (!written.record.holder.empty() && written.record.fencing_number >= highest_seen_) {
    held_ = Held{version, written.record.fencing_number, written.first_sent + settings_.term / 2,
                 written.first_sent + settings_.term};
  }
}

void FencedLease::retry_later(Instant now) {
  not_before_ = now + settings_.retry_after;
}

bool FencedLease::may_act(Instant now) const {
  const bool giving_up = pending_ && pending_->record.holder.empty();
  return wanted_ && !giving_up && held_ && now + settings_.send_margin < held_->valid_until;
}

void FencedLease::report_stale(std::uint64_t highest) {
  highest_seen_ = std::max(highest_seen_, highest);
  held_.reset();
  must_read_ = true;
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
  const auto json = nlohmann::json::parse(value, nullptr, false);
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
