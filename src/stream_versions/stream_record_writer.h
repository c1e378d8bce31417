// Writes this gateway's record of streams to the platform's store.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_STREAM_RECORD_WRITER_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_STREAM_RECORD_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/http_loop.h"
#include "platform/object_format.h"
#include "settings/gateway_settings.h"
#include "store_history/object_store_client.h"
#include "stream_versions/begun_streams.h"

namespace bluebellstep {

/** Gathers streams and writes them in batches. All members run on the HTTP thread. */
class StreamRecordWriter {
 public:
  /** Limit on each write. Callers wait for it. */
  static constexpr Duration kCallTimeout{500};
  /** Minimum time between two writes. Most prefills take longer, so that their streams do not wait
   * for the record. */
  static constexpr Duration kInterval{100};
  /** The same for each gateway of the system: together they make at most 250 writes a second, since
   * the store bears a few hundred. */
  static constexpr Duration kIntervalPerGateway{4};

  /** Callbacks to the owner. */
  struct Listener {
    /** This process has created the record, possibly by a write whose answer was lost: other
     * gateways did not know this one before. */
    std::function<void()> on_created;
    /** A write failed, so the revision of the record is not known; call `set_listed`. */
    std::function<void()> on_failed;
  };

  StreamRecordWriter(HttpLoop& loop,
                     ObjectStoreClient& client,
                     const GatewaySettings& settings,
                     Listener listener);
  StreamRecordWriter(const StreamRecordWriter&) = delete;
  StreamRecordWriter& operator=(const StreamRecordWriter&) = delete;

  /** Name of the object with the record of a gateway. */
  static std::string object_name(std::string_view gateway);

  /** Takes in the record as a list of the store has it; `revision` is 0 if there is none, and it is
   * then created. */
  void set_listed(StoreRevision revision, const StreamRecord& record);

  /** See `BegunStreams::set_era`. */
  void set_era(std::uint64_t era, bool lost_nothing);
  /** See `BegunStreams::refresh`. */
  void refresh();

  /** Sets the number of gateways that write records. */
  void set_gateway_count(std::size_t count) { gateway_count_ = count; }

  /** Whether a stream can be added and is expected to be written soon. */
  bool can_add() const { return revision_.has_value() && streams_.can_add(); }

  /** Whether the record contains the stream, written or not. */
  bool contains(StreamKey stream) const { return streams_.contains(stream); }

  /** Adds a stream; calls back once, with whether the store has acknowledged it. */
  void add(StreamKey stream,
           std::string_view version,
           Instant expires_at,
           std::function<void(bool)> on_result);

  /** Writes the whole record again: the store may have lost it. */
  void rewrite();

 private:
  struct Waiting {
    BegunStreams::Sequence sequence = 0;
    std::function<void(bool)> on_result;
  };

  // Writes the record now or when the interval has passed, unless a write is due already.
  void schedule();
  void write();
  void on_written(const PlatformClient::WriteResult& result);
  void set_revision(StoreRevision revision);
  void answer_written();
  void fail_all();

  HttpLoop& loop_;
  ObjectStoreClient& client_;
  const GatewaySettings& settings_;
  Listener listener_;
  Clock clock_;
  BegunStreams streams_;
  std::size_t gateway_count_ = 1;
  // Of the object in the store, 0 if it does not exist; unset if that is not known.
  std::optional<StoreRevision> revision_;
  bool creates_ = false;  // A write that creates the record was sent, and it does not exist yet.
  bool in_flight_ = false;
  bool scheduled_ = false;
  Instant sent_at_;
  std::vector<Waiting> waiting_;
  // Expires with this object; callbacks check it before they use the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_RECORD_WRITER_H_
