// HTTP client of the operator commands. Tests can replace it by setting `CommandContext::send`.

#ifndef BLUEBELLSTEP_CLI_COMMAND_HTTP_CLIENT_H_
#define BLUEBELLSTEP_CLI_COMMAND_HTTP_CLIENT_H_

#include <memory>

#include "cli/command_context.h"

namespace bluebellstep {

/** HTTP client with its own thread, which is started at the first call. */
class CommandHttpClient {
 public:
  CommandHttpClient();
  CommandHttpClient(const CommandHttpClient&) = delete;
  CommandHttpClient& operator=(const CommandHttpClient&) = delete;
  ~CommandHttpClient();

  /** Sets `context.send` to send requests with this client, which must outlive all those calls. */
  void attach_to(CommandContext& context);

  /** Returns the client, and starts its thread if necessary. */
  HttpClient& client();

 private:
  struct ClientThread;

  std::unique_ptr<ClientThread> client_thread_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_COMMAND_HTTP_CLIENT_H_
