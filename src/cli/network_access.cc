// Blocking calls over `HttpClient`.

#include "cli/network_access.h"

#include "http/http_loop.h"

namespace bluebellstep {

struct NetworkAccess::Running {
  HttpLoop loop;
  HttpClient client{loop};
};

NetworkAccess::NetworkAccess() = default;
NetworkAccess::~NetworkAccess() = default;

HttpClient& NetworkAccess::client() {
  if (!running_) {
    running_ = std::make_unique<Running>();
  }
  return running_->client;
}

void NetworkAccess::connect(CommandContext& context) {
  context.send = [this](HttpCall call) { return client().send_and_wait(std::move(call)); };
}

}  // namespace bluebellstep
