// Datagrams with the work of client accounts.

#ifndef BLUEBELLSTEP_GATEWAY_ACCOUNT_WORK_DATAGRAM_H_
#define BLUEBELLSTEP_GATEWAY_ACCOUNT_WORK_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "overload/account_shares.h"

namespace bluebellstep {

/** Encodes a report as the content of a datagram. */
std::string encode_account_work(const AccountWorkReport& report);
/** Decodes a datagram. Returns nothing if it does not contain a report of account work. */
std::optional<AccountWorkReport> decode_account_work(std::span<const std::uint8_t> bytes);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_ACCOUNT_WORK_DATAGRAM_H_
