// Converts served costs to and from their Cap'n Proto format.

#include "rpc/wire_service.h"

namespace bluebellstep {

void write_served_costs(wire::PeerState::Builder state,
                        const std::vector<AccountServiceReport>& served_accounts) {
  auto out = state.initServedCosts(static_cast<unsigned>(served_accounts.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setAccount(served_accounts[i].account);
    out[i].setCost(served_accounts[i].cost);
    out[i].setBacklogged(served_accounts[i].backlogged);
  }
}

std::vector<AccountServiceReport> read_served_costs(wire::PeerState::Reader state) {
  std::vector<AccountServiceReport> served_accounts;
  served_accounts.reserve(state.getServedCosts().size());
  for (const auto served_cost : state.getServedCosts()) {
    served_accounts.push_back(
        {served_cost.getAccount().cStr(), served_cost.getCost(), served_cost.getBacklogged()});
  }
  return served_accounts;
}

}  // namespace bluebellstep
