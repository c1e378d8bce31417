// The streams that a gateway began at a version other than the default one, and their record in the
// platform's store.
//
// Load pattern: tens of such streams begin each second, and each must be in the store before its
// first event reaches the caller. One object holds all of them and is written as a whole, so that a
// batch costs one call and a write that is carried out late cannot undo a later one.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_BEGUN_STREAMS_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_BEGUN_STREAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** Identifies a stream: a hash of the client account and of the request id under which the caller
 * got its first event. */
struct StreamKey {
  std::uint64_t value = 0;

  auto operator<=>(const StreamKey&) const = default;
};

/** Returns the key of the stream that `request_id` of `account` began. */
StreamKey stream_key(std::string_view account, std::string_view request_id);

/** Software version by stream. */
using StreamVersionMap = std::map<StreamKey, std::string>;

/** What the record of a gateway says. */
struct StreamRecord {
  StreamVersionMap streams;
  std::uint64_t era = 0;  // Of the store when the record was written.
  // Whether it has all open streams of the gateway. It may not if the gateway stopped, and the
  // store was then restored from an older copy.
  bool complete = true;

  bool operator==(const StreamRecord&) const = default;
};

/** Encodes a record as JSON text. */
std::string encode_begun_streams(const StreamRecord& record);
/** Decodes a record; nothing if the text is no record of streams. */
std::optional<StreamRecord> decode_begun_streams(std::string_view text);

/** The record of one gateway. Performs no I/O: the owner writes `content` and reports the result.
 * All times are read from one monotonic clock. */
class BegunStreams {
 public:
  /** Number of a change of the record. Later changes have higher numbers. */
  using Sequence = std::uint64_t;

  /** Most streams in the record. A gateway of a busy deployment begins some hundred a second, and
   * the text of the record must fit into an object of the store. */
  static constexpr std::size_t kMaxStreams = 10'000;
  /** For this time after a start the streams of the process before are kept: the record does not
   * tell when their callers' deadlines pass. */
  static constexpr Duration kAdoptedLifetime{60'000};
  /** A stream whose record was lost by a restore of the store is not open any more after this time:
   * callers wait for a minute at most, and records are kept for some seconds longer. */
  static constexpr Duration kLostStreamTime{66'000};

  /** Whether another stream can be added. */
  bool can_add() const { return era_ && streams_.size() < kMaxStreams; }

  /** Adds a stream, or replaces the version of one. Returns the number of the change, which is
   * acknowledged by `record_written` with this number or a higher one. */
  Sequence add(StreamKey stream, std::string_view version, Instant expires_at);

  /** Adds what the process before this one recorded. Streams that this one began keep their
   * version. Without a record, adopt an empty one. */
  void adopt(const StreamRecord& record, Instant now);

  /** The store is in this era, and it holds the newest table of versions that this gateway knows.
   * The record of an earlier era is written again, without the streams of an earlier process. Call
   * it after the first `adopt`.
   *
   * @param lost_nothing  Whether the store has lost no record of this system before the era.
   */
  void set_era(std::uint64_t era, bool lost_nothing, Instant now);

  /** The record of an earlier process may have lacked streams; whether it still does may depend on
   * the time. A change is written again. */
  void refresh(Instant now);

  /** Whether the record contains the stream, written or not. */
  bool contains(StreamKey stream) const { return streams_.contains(stream); }

  /** The store may have lost the record: the next write is needed even if nothing was added. */
  void mark_changed() { ++sequence_; }

  /** Whether there are changes that no write contains yet. */
  bool needs_write() const { return sequence_ > sent_sequence_; }

  /** Returns the text to write, and counts its changes as sent. Drops streams that have expired. */
  std::string take_content(Instant now);

  /** Number of the last change that the last text contained. */
  Sequence sent_sequence() const { return sent_sequence_; }

  /** The write failed, or its result is not known: its changes need another one. */
  void record_failed() { sent_sequence_ = written_sequence_; }
  /** The store has acknowledged the last text. */
  void record_written() { written_sequence_ = sent_sequence_; }

  /** Number of the last change that the store has acknowledged. */
  Sequence written_sequence() const { return written_sequence_; }

  std::size_t size() const { return streams_.size(); }

 private:
  struct Stream {
    std::string version;
    Instant expires_at;
  };

  std::map<StreamKey, Stream> streams_;
  std::optional<std::uint64_t> era_;  // Unset before `set_era`.
  Instant era_since_;
  std::optional<StreamRecord> adopted_;  // The first one, without its streams.
  bool complete_ = false;
  // written_sequence_ <= sent_sequence_ <= sequence_.
  Sequence sequence_ = 0;
  Sequence sent_sequence_ = 0;
  Sequence written_sequence_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_BEGUN_STREAMS_H_
