// Parsing of the datagrams between gateways.

#ifndef BLUEBELLSTEP_GATEWAY_DATAGRAM_FORMAT_H_
#define BLUEBELLSTEP_GATEWAY_DATAGRAM_FORMAT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>

namespace bluebellstep {

/** Parses a datagram, which is a msgpack array. Returns nothing if it is malformed, contains
 * objects or is nested deeper than the messages of gateways. */
std::optional<nlohmann::json> parse_datagram(std::span<const std::uint8_t> bytes);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_DATAGRAM_FORMAT_H_
