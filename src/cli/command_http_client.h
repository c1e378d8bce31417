// The HTTP client that commands use in the program; tests may put their own in its place.

#ifndef BLUEBELLSTEP_CLI_COMMAND_HTTP_CLIENT_H_
#define BLUEBELLSTEP_CLI_COMMAND_HTTP_CLIENT_H_

#include <memory>

#include "cli/command_context.h"

namespace bluebellstep {

/** Owns the HTTP thread of a command, which starts with the first call. */
class CommandHttpClient {
 public:
  CommandHttpClient();
  CommandHttpClient(const CommandHttpClient&) = delete;
  CommandHttpClient& operator=(const CommandHttpClient&) = delete;
  ~CommandHttpClient();

  /** Sets `send` of `context`, which must not be used after this is gone. */
  void connect(CommandContext& context);

  /** The client, started if needed. */
  HttpClient& client();

 private:
  struct Running;

  std::unique_ptr<Running> running_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CLI_COMMAND_HTTP_CLIENT_H_
