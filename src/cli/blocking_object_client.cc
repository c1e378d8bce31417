// Conditional write with confirmation after a lost answer.

#include "cli/blocking_object_client.h"

#include "base/ed25519.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

// Maximum number of writes, each followed by a read if its answer is lost. After that many lost
// answers the platform is considered unavailable.
constexpr int kMaxAttempts = 3;

bool same_digest(const PlatformObject& object, const std::string& value) {
  return sha256_hex(object.value) == sha256_hex(value);
}

}  // namespace

WriteOutcome write_and_confirm(const BlockingObjectClient& objects,
                               std::string_view key,
                               StoreRevision expected,
                               const std::string& value) {
  PlatformUnavailable last_failure;
  bool answer_lost = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto written = objects.write(key, expected, value);
    if (const auto* stored = std::get_if<StoreRevision>(&written)) {
      return WriteConfirmed{*stored, answer_lost};
    }
    if (const auto* conflict = std::get_if<VersionConflict>(&written)) {
      // The conflict may be with an earlier attempt of this function whose answer was lost.
      if (answer_lost && same_digest(conflict->current, value)) {
        return WriteConfirmed{conflict->current.version, true};
      }
      return *conflict;
    }
    answer_lost = true;
    last_failure = std::get<PlatformUnavailable>(written);
    const auto read = objects.read(key);
    if (const auto* object = std::get_if<std::optional<PlatformObject>>(&read)) {
      const StoreRevision version = *object ? (*object)->version : StoreRevision{};
      if (*object && same_digest(**object, value)) {
        return WriteConfirmed{version, true};
      }
      if (version != expected) {
        return VersionConflict{object->value_or(PlatformObject{std::string(key), {}, ""})};
      }
    }
  }
  return last_failure;
}

}  // namespace bluebellstep
