// Tests of the check of a configuration and of its command.

#include "config_check/config_check.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/command_context.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kConfig = R"({"version":7,
  "routes":[{"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":4000,
             "goal_ms":400,"service":"llm","sticky":true},
            {"name":"r2","host":"h","path_prefix":"/a/b/","kind":"safe","timeout_ms":800,
             "goal_ms":200,"split":[{"service":"x","weight":90},{"service":"llm","weight":0}]}],
  "services":[{"name":"llm","max_conns":370,"cold_s":2.5,"engine":{"slots":64}},
              {"name":"x","max_conns":80},
              {"name":"kv","kv_store_addr":"172.20.0.6:8746","zone":"a"}],
  "limits":{"max_header_bytes":100,"max_body_bytes":200},
  "tenants":[{"name":"t","api_keys":["k1","k2"]},{"name":"u","api_keys":["k3"]}]})";

const DeploymentFacts kFacts{.gateways = 25, .stop_limit = Duration{8000}};

// Returns the configuration with `text` written in place of `replaced`.
std::string edited(std::string_view replaced, std::string_view text) {
  std::string config(kConfig);
  const std::size_t at = config.find(replaced);
  REQUIRE(at != std::string::npos);
  return config.replace(at, replaced.size(), text);
}

std::string findings_of(std::string_view content) {
  std::string lines;
  for (const ConfigFinding& finding : check_config(content, kFacts).findings) {
    lines += finding.to_string() + "\n";
  }
  return lines;
}

class CommandFixture {
 public:
  CommandFixture() {
    std::string pattern = "/tmp/bluebellstep-config-test-XXXXXX";
    const int file = mkstemp(pattern.data());
    REQUIRE(file >= 0);
    close(file);
    path = pattern;
    context.send = [this](const HttpCall& call) {
      const bool one_object = call.path.ends_with("/config/main");
      return HttpClient::Response{
          .status = store_status,
          .headers = {},
          .body = one_object ? R"({"metadata":{"name":"main","revision":3},"spec":)" +
                                   std::string(kConfig) + "}"
                             : R"({"items":[],"has_more":false,"current_rev":9})",
          .outcome = HttpClient::Complete{}};
    };
  }
  ~CommandFixture() { unlink(path.c_str()); }

  int run(std::string_view content, const std::vector<const char*>& options) {
    std::ofstream(path) << content;
    std::vector<const char*> argv = {"bluebellstep", "config", "check", path.c_str()};
    argv.insert(argv.end(), options.begin(), options.end());
    out.str("");
    CLI::App app("test");
    add_operator_commands(app, context);
    return run_command_line(app, context, static_cast<int>(argv.size()), argv.data());
  }

  std::string path;
  int store_status = 200;
  std::ostringstream out;
  std::ostringstream err;
  CommandContext context{out, err, {}, {}, {}};
};

}  // namespace

// Guards against mistakes that the gateways accept and callers find, and against a check that
// reports a correct configuration, which people would then ignore.
TEST_CASE("mistakes of a configuration are found", "[config_check]") {
  CHECK(findings_of(kConfig).empty());
  struct Row {
    std::string_view replaced;
    std::string_view text;
    std::string_view finding;
  };
  for (const Row& row : std::vector<Row>{
           {"/a/b/", "/a/", "route r2 never matches, since route r1 before it"},
           {"/a/b/", "a/b/", "begins with no slash"},
           {"/a/b/", "/a/b", "ends with no slash"},
           {"/a/b/", "/a/?x=/", "no path can contain"},
           {R"("h")", R"("h:8080")", "no request has the host \"h:8080\""},
           {R"("name":"r2")", R"("name":"r1")", "has the name of another route"},
           {R"(["k3"])", "[]", "account u has no key of its own"},
           {R"(["k3"])", R"(["k3","k2"])", "account t has as key 2 a key that account u has"},
           {R"({"name":"u","api_keys":["k3"]})",
            R"({"name":"u","api_keys":["k1"]},{"name":"v","api_keys":["k1"]})",
            "account u has as key 1 a key that account v has"},
           {R"("name":"u")", R"("name":"t")", "account t has the name of another account"},
           {R"([{"name":"t","api_keys":["k1","k2"]},{"name":"u","api_keys":["k3"]}])", "[]",
            "the list of accounts has no key"},
           {R"("service":"x")", R"("service":"kv")", "service x has no route"},
           {R"("service":"x")", R"("service":"kv")", "leads to kv, a cache store"},
           {R"("service":"x")", R"("service":"y")", "leads to the unknown service y"},
           {"90", "0", "sum to 0"},
           {R"("goal_ms":200)", R"("goal_ms":900)", "latency goal (900 ms) above its timeout"},
           {"4000", "9000", "above the stop limit (8000 ms)"},
           {R"(_bytes":100)", R"(_bytes":300)", "the limit of a header (300 bytes) is above"},
           {"80}", "49}", "too few for 25 gateways"},
           {"370", "60", "fewer than its 64 slots"},
           {R"("name":"x")", R"("name":"llm")", "service llm is listed twice"},
       }) {
    CAPTURE(row.replaced, row.text);
    CHECK(findings_of(edited(row.replaced, row.text)).find(row.finding) != std::string::npos);
  }
}

// Guards against odd entries as in earlier incidents: each is told with its place, none ends the
// check, and what gateways refuse is never reported as readable.
TEST_CASE("odd entries of a configuration are told with field and position", "[config_check]") {
  struct Row {
    std::string text;  // Written in place of the timeout of the second route.
    std::string finding;
    bool readable = true;
  };
  const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
  for (const Row& row : std::vector<Row>{
           {R"("timeout_ms":-1)", "4:86: routes[1].timeout_ms is -1"},
           {R"("timeout_ms":1e300)", "4:86: routes[1].timeout_ms is 1e300"},
           {R"("timeout_ms":1e999)", "4:86: routes[1].timeout_ms is 1e999", false},
           {R"("timeout_ms":"six")", "4:86: routes[1].timeout_ms is \"six\"", false},
           {R"("timeout_ms":)", "4:74: routes[1].timeout_ms is nothing", false},
           {"\"timeout_ms\":\"\xff\"", "4:86: routes[1].timeout_ms is", false},
           {R"("timeout_ms":"\udcff")", "4:86: routes[1].timeout_ms is", false},
           {R"("timeout_ms":)" + nested, "nested too deeply", false},
           {R"("timeuot_ms":800)", "4:74: routes[1].timeuot_ms is not known, perhaps meant as"},
           {R"("max_attempts":-1)", "routes[1].max_attempts is -1"},
           {R"("max_attempts":4294967298)", "routes[1].max_attempts is 4294967298"},
           {R"("timeout_ms":{"a":1})", "4:86: routes[1].timeout_ms is an object", false},
           {R"("priority":1,"priority":2)", "routes[1].priority is written more than once"},
           {R"("x":1}])", "is no JSON from here on", false},
       }) {
    CAPTURE(row.text.substr(0, 40));
    const std::string content = edited(R"("timeout_ms":800)", row.text);
    const ConfigReport report = check_config(content, kFacts);
    CHECK(findings_of(content).find(row.finding) != std::string::npos);
    CHECK(report.config.has_value() == row.readable);
  }
  for (const char* content : {"", "null", "[]", "{", "{}", R"({"version":1,"routes":[,],"a":})"}) {
    CAPTURE(content);
    CHECK_FALSE(check_config(content, kFacts).config);
    CHECK_FALSE(check_config(content, kFacts).findings.empty());
  }
}

// Guards against keys in the output of a script: they are secrets.
TEST_CASE("keys of accounts that cannot be read are not told", "[config_check]") {
  const std::string accounts =
      R"([{"name":"t","api_keys":["k1","k2"]},{"name":"u","api_keys":["k3"]}])";
  for (const char* text :
       {R"(["secret"])", R"("secret")", R"({"secret":1})", R"([["secret"]])", R"(["secret",1])",
        R"([{"name":"t","api_keys":["secret"],}])", R"([{"name":"t" "api_keys":["secret"]}])",
        R"([{"name":"t,"api_keys":["secret"]}])",
        R"([{"name":"t","priority":1 "api_keys":["secret"]}])",
        R"([],"version":7 "tenants":[{"api_keys":["secret"]}])",
        R"([{"name":"t","api_keys":"secret"}])", R"([{"name":"t","api_keys":["secret" 1]}])",
        R"([{"name":"t","api_keys":["secret\x"]}])",
        R"([{"name":["secret"],"api_keys":["secret"]}])"}) {
    CAPTURE(text);
    const std::string findings = findings_of(edited(accounts, text));
    CHECK_FALSE(findings.empty());
    CHECK(findings.find("secret") == std::string::npos);
  }
}

// Guards against a priority of an account that gateways ignore without a word.
TEST_CASE("a priority of an account with a fraction is told", "[config_check]") {
  CHECK(findings_of(edited(R"("name":"u")", R"("name":"u","priority":1.0)"))
            .find("tenants[1].priority is 1.0, expected an integer") != std::string::npos);
}

// Guards against a check that takes minutes, since positions are counted anew for each finding:
// eight times the findings took 64 times as long. Processor time, since the machine may be busy.
TEST_CASE("the time of a check is proportional to its findings", "[config_check][load]") {
  const auto check = [](int count) {
    std::string routes;
    for (int i = 0; i < count; ++i) {
      routes += R"({"name":1,"host":2,"path_prefix":3,"kind":4},)";
      routes += i == 0 ? "\n" : "";
    }
    const std::string content = edited(R"({"name":"r1")", routes + R"({"name":"r1")");
    const std::clock_t begin = std::clock();
    const ConfigReport report = check_config(content, {});
    const std::clock_t time = std::clock() - begin;
    CHECK(report.findings.size() > 5 * static_cast<std::size_t>(count));
    CHECK(report.findings[6].line == 3);
    CHECK(report.findings[6].column == 9);
    return time;
  };
  CHECK(check(16'000) < 24 * check(2000));
}

// Guards against an exit status that lets a script send what it should not, against differences
// that are not shown, and against keys in the output.
TEST_CASE_METHOD(CommandFixture,
                 "a configuration is compared with that in force",
                 "[config_check]") {
  const std::vector<const char*> in_force = {"--in-force", "--store", "127.0.0.1:9"};
  CHECK(run(kConfig, in_force) == 0);
  CHECK(run(edited("4000", "5000"), in_force) == 0);
  CHECK(out.str().find("route r1: timeout changed from 4000 ms to 5000 ms") != std::string::npos);
  CHECK(run(edited(R"("name":"r2")", R"("name":"r3")"), in_force) == 0);
  CHECK(out.str().find("route r2: removed\nroute r3: added") != std::string::npos);
  CHECK(run(edited(R"("k3")", R"("k4","k5")"), in_force) == 0);
  CHECK(out.str().find("account u: keys changed from 1 to 2 (2 added, 1 removed)") !=
        std::string::npos);
  CHECK(out.str().find("k4") == std::string::npos);
  CHECK(run(edited("\"sticky\":true", "\"sticky\":false"), in_force) == 0);
  CHECK(out.str().find("fields that gateways do not use") != std::string::npos);
  CHECK(run(edited("90", "0"), {"--in-force", "--store", "127.0.0.1:9", "--json"}) == 1);
  CHECK(Json::parse(out.str())["differences"][0]["property"] == "services");
  CHECK(Json::parse(out.str())["findings"].size() == 1);
  CHECK(run("{", in_force) == 2);
  CHECK(run(kConfig, {"--in-force"}) == 2);
  CHECK(run(kConfig, {"--against", "/nonexistent/file"}) == 2);
  store_status = 503;
  CHECK(run(kConfig, in_force) == 6);
}

}  // namespace bluebellstep
