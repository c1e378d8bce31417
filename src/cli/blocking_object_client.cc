// The conditional write that settles lost answers.

#include "cli/blocking_object_client.h"

#include "base/ed25519.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

// Rounds of write and read-back before giving up. A run of lost answers this long is an outage.
constexpr int kRounds = 3;

bool same_digest(const PlatformObject& object, const std::string& value) {
  return sha256_hex(object.value) == sha256_hex(value);
}

}  // namespace

WriteOutcome write_and_confirm(const BlockingObjectClient& objects,
                               std::string_view key,
                               ObjectVersion expected,
                               const std::string& value) {
  PlatformUnavailable last;
  bool answer_lost = false;
  for (int round = 0; round < kRounds; ++round) {
    const auto written = objects.write(key, expected, value);
    if (const auto* stored = std::get_if<ObjectVersion>(&written)) {
      return WriteConfirmed{*stored, answer_lost};
    }
    if (const auto* conflict = std::get_if<VersionConflict>(&written)) {
      // After a lost answer the conflict may be with our own earlier write.
      if (answer_lost && same_digest(conflict->current, value)) {
        return WriteConfirmed{conflict->current.version, true};
      }
      return *conflict;
    }
    answer_lost = true;
    last = std::get<PlatformUnavailable>(written);
    const auto read = objects.read(key);
    if (const auto* object = std::get_if<std::optional<PlatformObject>>(&read)) {
      const ObjectVersion version = *object ? (*object)->version : ObjectVersion{};
      if (*object && same_digest(**object, value)) {
        return WriteConfirmed{version, true};
      }
      if (version != expected) {
        return VersionConflict{object->value_or(PlatformObject{std::string(key), {}, ""})};
      }
    }
  }
  return last;
}

}  // namespace bluebellstep
