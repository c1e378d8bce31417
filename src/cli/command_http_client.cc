// Blocking calls of `HttpClient`.

#include "cli/command_http_client.h"

#include "http/http_loop.h"

namespace bluebellstep {

struct CommandHttpClient::ClientThread {
  HttpLoop loop;
  HttpClient client{loop};
};

CommandHttpClient::CommandHttpClient() = default;
CommandHttpClient::~CommandHttpClient() = default;

HttpClient& CommandHttpClient::client() {
  if (!client_thread_) {
    client_thread_ = std::make_unique<ClientThread>();
  }
  return client_thread_->client;
}

void CommandHttpClient::attach_to(CommandContext& context) {
  context.send = [this](HttpCall call) { return client().send_and_wait(std::move(call)); };
}

}  // namespace bluebellstep
