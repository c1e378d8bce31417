// Blocking calls over `HttpClient`.

#include "cli/command_http_client.h"

#include "http/http_loop.h"

namespace bluebellstep {

struct CommandHttpClient::Running {
  HttpLoop loop;
  HttpClient client{loop};
};

CommandHttpClient::CommandHttpClient() = default;
CommandHttpClient::~CommandHttpClient() = default;

HttpClient& CommandHttpClient::client() {
  if (!running_) {
    running_ = std::make_unique<Running>();
  }
  return running_->client;
}

void CommandHttpClient::connect(CommandContext& context) {
  context.send = [this](HttpCall call) { return client().send_and_wait(std::move(call)); };
}

}  // namespace bluebellstep
