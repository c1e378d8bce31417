// Converts served costs to and from their Cap'n Proto format.

#include "rpc/wire_service.h"

namespace bluebellstep {

void write_served_costs(wire::PeerState::Builder state,
                        const std::vector<AccountServiceReport>& reports) {
  auto out = state.initServedCosts(static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setAccount(reports[i].account);
    out[i].setCost(reports[i].cost);
    out[i].setBacklogged(reports[i].backlogged);
  }
}

std::vector<AccountServiceReport> read_served_costs(wire::PeerState::Reader state) {
  std::vector<AccountServiceReport> reports;
  reports.reserve(state.getServedCosts().size());
  for (const auto served_cost : state.getServedCosts()) {
    reports.push_back(
        {served_cost.getAccount().cStr(), served_cost.getCost(), served_cost.getBacklogged()});
  }
  return reports;
}

}  // namespace bluebellstep
