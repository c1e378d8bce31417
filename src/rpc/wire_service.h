// Encoding of served costs in heartbeats.

#ifndef BLUEBELLSTEP_RPC_WIRE_SERVICE_H_
#define BLUEBELLSTEP_RPC_WIRE_SERVICE_H_

#include <vector>

#include "fairness/service_totals.h"
#include "rpc/peer.capnp.h"

namespace bluebellstep {

/** Limit for the accounts in one heartbeat, to keep heartbeats small. Further accounts are sent in
 * later heartbeats. */
inline constexpr std::size_t kMaxAccountsPerHeartbeat = 16;

/** Writes the served costs of accounts into a heartbeat. */
void write_served_costs(wire::PeerState::Builder state,
                        const std::vector<AccountServiceReport>& reports);

/** Reads the served costs of accounts from a heartbeat. */
std::vector<AccountServiceReport> read_served_costs(wire::PeerState::Reader state);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_RPC_WIRE_SERVICE_H_
