// Translates served costs to and from the wire.

#include "rpc/wire_service.h"

namespace bluebellstep {

void write_served_costs(wire::PeerState::Builder state, const std::vector<ServedAccount>& reports) {
  auto out = state.initServedCosts(static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setAccount(reports[i].account);
    out[i].setCost(reports[i].cost);
    out[i].setBacklogged(reports[i].backlogged);
  }
}

std::vector<ServedAccount> read_served_costs(wire::PeerState::Reader state) {
  std::vector<ServedAccount> reports;
  reports.reserve(state.getServedCosts().size());
  for (const auto report : state.getServedCosts()) {
    reports.push_back({report.getAccount().cStr(), report.getCost(), report.getBacklogged()});
  }
  return reports;
}

}  // namespace bluebellstep
