// Text format of revisions.

#include "platform/store_revision.h"

#include "http1/message_parser.h"

namespace bluebellstep {

std::string to_string(const StoreRevision& revision) {
  std::string text = revision.era == 0 ? std::string() : std::to_string(revision.era) + ".";
  return text.append(std::to_string(revision.number));
}

std::optional<StoreRevision> parse_store_revision(std::string_view text) {
  const std::size_t dot = text.find('.');
  const bool has_era = dot != std::string_view::npos;
  const auto era = has_era ? parse_decimal(text.substr(0, dot)) : std::uint64_t{0};
  const auto number = parse_decimal(has_era ? text.substr(dot + 1) : text);
  if (!era || !number) {
    return std::nullopt;
  }
  return StoreRevision{.number = *number, .era = *era};
}

}  // namespace bluebellstep
