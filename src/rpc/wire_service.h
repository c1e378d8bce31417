// Served costs on the wire.

#ifndef BLUEBELLSTEP_RPC_WIRE_SERVICE_H_
#define BLUEBELLSTEP_RPC_WIRE_SERVICE_H_

#include <vector>

#include "fairness/service_totals.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Accounts in one heartbeat, at most, so that heartbeats stay small. The others follow in later
 * ones. */
inline constexpr std::size_t kMaxAccountsPerHeartbeat = 16;

/** Writes reports into a heartbeat. */
void write_served_costs(wire::PeerState::Builder state, const std::vector<ServedAccount>& reports);

/** Reads the reports of a heartbeat. */
std::vector<ServedAccount> read_served_costs(wire::PeerState::Reader state);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_WIRE_SERVICE_H_
