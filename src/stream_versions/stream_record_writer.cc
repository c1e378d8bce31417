// Batches and conditional writes of the record of streams.

#include "stream_versions/stream_record_writer.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {

StreamRecordWriter::StreamRecordWriter(HttpLoop& loop,
                                       ObjectStoreClient& client,
                                       const GatewaySettings& settings,
                                       Listener listener)
    : loop_(loop), client_(client), settings_(settings), listener_(std::move(listener)) {}

std::string StreamRecordWriter::object_name(std::string_view gateway) {
  return std::string("begun-").append(gateway);
}

void StreamRecordWriter::set_listed(StoreRevision revision, const StreamRecord& record) {
  if (in_flight_) {
    return;  // The result of the write is newer than the list.
  }
  if (!revision_) {
    streams_.adopt(record, clock_.now());
  } else if (revision.era > 0 && revision > *revision_) {
    // A write from before a restore was carried out late.
    streams_.mark_changed();
  }
  set_revision(revision);
  if (revision.is_absent() || streams_.needs_write()) {
    schedule();
  }
}

void StreamRecordWriter::set_era(std::uint64_t era, bool lost_nothing) {
  streams_.set_era(era, lost_nothing, clock_.now());
  if (streams_.needs_write()) {
    schedule();
  }
}

void StreamRecordWriter::refresh() {
  streams_.refresh(clock_.now());
  if (streams_.needs_write()) {
    schedule();
  }
}

void StreamRecordWriter::set_revision(StoreRevision revision) {
  revision_ = revision;
  if (!revision.is_absent() && std::exchange(creates_, false)) {
    listener_.on_created();
  }
}

void StreamRecordWriter::add(StreamKey stream,
                             std::string_view version,
                             Instant expires_at,
                             std::function<void(bool)> on_result) {
  if (!revision_) {
    on_result(false);
    return;
  }
  waiting_.push_back(
      {.sequence = streams_.add(stream, version, expires_at), .on_result = std::move(on_result)});
  schedule();
}

void StreamRecordWriter::rewrite() {
  streams_.mark_changed();
  schedule();
}

void StreamRecordWriter::schedule() {
  if (in_flight_ || scheduled_ || !revision_) {
    return;
  }
  scheduled_ = true;
  const Duration interval =
      std::max(kInterval, kIntervalPerGateway * static_cast<std::int64_t>(gateway_count_));
  const Duration delay = std::max(Duration{0}, sent_at_ + interval - clock_.now());
  loop_.post_after(delay, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      scheduled_ = false;
      write();
    }
  });
}

void StreamRecordWriter::write() {
  if (!revision_) {
    fail_all();
    return;
  }
  in_flight_ = true;
  creates_ = creates_ || revision_->is_absent();
  sent_at_ = clock_.now();
  client_.send(platform::write_call(settings_.store, platform::ObjectKind::kStreamVersions,
                                    object_name(settings_.name), *revision_,
                                    streams_.take_content(sent_at_), kCallTimeout),
               [this, alive = std::weak_ptr<bool>(alive_)](const platform::StoreAnswer& response) {
                 if (!alive.expired()) {
                   in_flight_ = false;
                   on_written(platform::decode_write(response));
                 }
               });
}

void StreamRecordWriter::on_written(const PlatformClient::WriteResult& result) {
  std::visit(Overloaded{[&](StoreRevision version) {
                          streams_.record_written();
                          answer_written();
                          set_revision(version);
                        },
                        [&](const VersionConflict& conflict) {
                          // A write whose answer was lost, or one of the process before this one.
                          set_revision(conflict.current.version);
                          if (const auto record = decode_begun_streams(conflict.current.value)) {
                            streams_.adopt(*record, clock_.now());
                          }
                          streams_.record_failed();
                        },
                        [&](const PlatformUnavailable& fault) {
                          LogEvent("stream_record_not_written", LogEvent::Severity::kWarning)
                              .field("streams", static_cast<std::uint64_t>(streams_.size()))
                              .field("why", fault.detail);
                          revision_.reset();
                          streams_.record_failed();
                          fail_all();
                          listener_.on_failed();
                        }},
             result);
  if (streams_.needs_write()) {
    schedule();
  }
}

void StreamRecordWriter::answer_written() {
  const BegunStreams::Sequence written = streams_.written_sequence();
  std::vector<Waiting> ready;
  std::vector<Waiting> later;
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    (waiting.sequence <= written ? ready : later).push_back(std::move(waiting));
  }
  waiting_ = std::move(later);
  for (const Waiting& waiting : ready) {
    waiting.on_result(true);
  }
}

void StreamRecordWriter::fail_all() {
  for (const Waiting& waiting : std::exchange(waiting_, {})) {
    waiting.on_result(false);
  }
}

}  // namespace bluebellstep
