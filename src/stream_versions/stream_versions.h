// What the forwarder asks about the software versions of streams.

#ifndef BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSIONS_H_
#define BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSIONS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "stream_versions/begun_streams.h"
#include "stream_versions/stream_belief.h"

namespace bluebellstep {

/** Decides at which software versions streams begin and continue. All members run on one thread,
 * and call back on it. */
class StreamVersions {
 public:
  virtual ~StreamVersions() = default;

  /** Whether the version matters for streams of the service. The other members are called only for
   * such services. */
  virtual bool covers(std::string_view service) const = 0;

  /** Returns the versions at which streams may begin now. */
  virtual std::vector<std::string> usable_versions(std::string_view service) = 0;

  /** Whether the caller may get the first event of a stream at this version only after
   * `record_version` has succeeded. */
  virtual bool must_record(std::string_view service,
                           std::string_view version,
                           StreamKey stream) = 0;

  /** Records the version at which a stream is about to begin. Calls back once, possibly at once.
   *
   * @param expires_at  The caller does not come back after that.
   * @param on_result   Called with whether the store has acknowledged the record. If not, the store
   *                    may nevertheless contain it.
   */
  virtual void record_version(StreamKey stream,
                              std::string_view version,
                              Instant expires_at,
                              std::function<void(bool recorded)> on_result) = 0;

  /** The caller gets the first event of a stream. */
  virtual void note_begun(StreamKey stream, std::string_view version, Instant expires_at) = 0;

  /** Finds out at which version a stream continues. Calls back once, possibly at once, and never
   * with `AskStore`.
   *
   * @param stream  Unset if the caller does not name the stream.
   */
  virtual void find_version(std::string_view service,
                            std::optional<StreamKey> stream,
                            std::function<void(StreamBelief)> on_result) = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAM_VERSIONS_STREAM_VERSIONS_H_
