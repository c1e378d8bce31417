// Messages by which a gateway that reads the platform's store passes changes of objects on to the
// gateways that follow it.

#ifndef BLUEBELLSTEP_GATEWAY_OBJECT_CHANGES_H_
#define BLUEBELLSTEP_GATEWAY_OBJECT_CHANGES_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/object_replica.h"
#include "gateway/serving_config.h"
#include "platform/object_format.h"
#include "retained_objects/belief_format.h"

namespace bluebellstep {

/** Encodes zones that were back in service as JSON, and decodes them. Throws
 * `nlohmann::json::exception` for other JSON. */
nlohmann::json encode_returned_zones(const std::vector<ReturnedZone>& zones);
std::vector<ReturnedZone> decode_returned_zones(const nlohmann::json& json);

/** A gateway's view of the zones out of service, as it passes it on; see `ZoneView`. */
struct PassedView {
  Duration since_ago{0};
  Duration as_of_ago{0};
  bool after_gap = false;

  bool operator==(const PassedView&) const = default;
};

/** Encodes a view as JSON, and decodes it. Throws `nlohmann::json::exception` for other JSON. */
nlohmann::json encode_passed_view(const PassedView& view);
PassedView decode_passed_view(const nlohmann::json& json);

/** For each watched kind, in a fixed order, the store's revision up to which a gateway knows all
 * changes. */
using KnownRevisions = std::vector<StoreRevision>;

/** Encodes a revision as JSON, and decodes it. Throws `nlohmann::json::exception` for other JSON.
 */
nlohmann::json encode_revision(const StoreRevision& revision);
StoreRevision decode_revision(const nlohmann::json& json);

/** Encodes known revisions as a list for the query of a request, and decodes it. Missing ones are
 * 0. */
std::string encode_known_revisions(const KnownRevisions& known);
KnownRevisions decode_known_revisions(std::string_view text);

/** A follower's request for the changes that it does not know. */
struct ChangesQuery {
  KnownRevisions known;
  Duration wait{0};  // Time for which the answer may be delayed while there is no change.
};

/** Changes of the objects of one kind. */
struct KindChanges {
  platform::ObjectKind kind{};
  StoreRevision revision;  // The follower knows all changes up to this one afterwards.
  std::vector<platform::ObjectChange> changes;
  std::vector<RevisionGap> gaps;  // In what the answering gateway has heard.
};

/** The answer to a `ChangesQuery`. */
struct ChangesAnswer {
  // The answering gateway has heard of the store lately, and knows all changes since the revisions
  // of the query.
  bool current = false;
  Duration age{0};        // Since the store's last answer.
  std::uint64_t era = 0;  // The newest era of the store that the answering gateway knows of.
  // Unset by earlier versions, and while the answering gateway has no valid view.
  std::optional<PassedView> view;
  std::vector<KindChanges> kinds;  // Only those with a newer revision.
  std::vector<ReturnedZone> returned_zones;
  std::vector<KindBeliefs> beliefs;  // That retain an upstream as leaving or removed.
  // Upstreams that were removed lately after they had stated that they leave.
  std::vector<std::string> left_upstreams;
};

inline constexpr std::string_view kChangesPath = "/v1/changes";

/** Encodes a query as the path of a request, and decodes it. Missing parts are zero. */
std::string encode_changes_query(const ChangesQuery& query);
ChangesQuery decode_changes_query(std::string_view path);

/** Encodes an answer as JSON, and decodes it. Returns nothing if the text is not an answer. */
std::string encode_changes_answer(const ChangesAnswer& answer);
std::optional<ChangesAnswer> decode_changes_answer(std::string_view text);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_OBJECT_CHANGES_H_
