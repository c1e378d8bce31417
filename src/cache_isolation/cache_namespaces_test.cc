// Tests of the namespaces of cached segments, and a simulation of changing configurations.

#include "cache_isolation/cache_namespaces.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"

namespace bluebellstep {
namespace {

CacheNamespaces with_isolated(IsolatedAccounts accounts) {
  CacheNamespaces namespaces;
  namespaces.set_isolated_accounts(std::move(accounts));
  return namespaces;
}

std::string namespace_of(const CacheNamespaces& namespaces, const std::string& account) {
  return namespaces.is_isolated(account) ? CacheNamespaces::of_account("m", 1, account)
                                         : namespaces.shared("m", 1);
}

}  // namespace

TEST_CASE("a namespace tells its weight version", "[cache_isolation]") {
  const CacheNamespaces none;
  const CacheNamespaces some = with_isolated({"acme"});
  for (const std::string& name :
       {none.shared("m", 12), some.shared("m", 12), CacheNamespaces::of_account("m", 12, "acme")}) {
    CAPTURE(name);
    CHECK(weight_version_of(name, "m") == 12);
    CHECK_FALSE(weight_version_of(name, "n"));
  }
  for (const std::string name : {"foreign", "w/m", "wx/m", "w1x/m", "1/m", "w1"}) {
    CAPTURE(name);
    CHECK_FALSE(weight_version_of(name, "m"));
  }
}

// Guards against other names for what gateways before this version keep, and against a name that
// depends on the order or the concatenation of the accounts.
TEST_CASE("the shared namespace depends on the set of isolated accounts alone",
          "[cache_isolation]") {
  CHECK(CacheNamespaces().shared("m", 1) == "w1/m");
  CHECK(CacheNamespaces::of_account("m", 1, "acme") == "w1/m/acme");
  CHECK(with_isolated({"a", "b"}).shared("m", 1) == with_isolated({"b", "a"}).shared("m", 1));
  const std::vector<IsolatedAccounts> sets = {{}, {"a"}, {"b"}, {"a", "b"}, {"ab"}, {"a:b"}, {""}};
  for (std::size_t i = 0; i < sets.size(); ++i) {
    for (std::size_t k = i + 1; k < sets.size(); ++k) {
      CHECK(with_isolated(sets[i]).shared("m", 1) != with_isolated(sets[k]).shared("m", 1));
    }
  }
}

// Guards against a model whose name ends in the name of an isolated account.
TEST_CASE("names with slashes do not make two namespaces one", "[cache_isolation]") {
  CHECK(CacheNamespaces().shared("m/acme", 1) != CacheNamespaces::of_account("m", 1, "acme"));
  CHECK(CacheNamespaces::of_account("m/a", 1, "b") != CacheNamespaces::of_account("m", 1, "a/b"));
  CHECK(CacheNamespaces().shared("a%2Fb", 1) != CacheNamespaces().shared("a/b", 1));
  CHECK(weight_version_of(CacheNamespaces().shared("a/b", 3), "a/b") == 3);
}

// Guards against segments that pass between two accounts of which one is isolated: accounts become
// isolated, stop to be, are deleted and made again; gateways hear of it late, skip versions or
// start anew and know only the newest one.
TEST_CASE("an isolated account shares no segment after any series of configurations",
          "[cache_isolation]") {
  const std::vector<std::string> accounts = {"a", "b", "c", "d"};
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    std::vector<IsolatedAccounts> versions = {{}};
    std::vector<std::size_t> known(4, 0);  // By gateway: the version that it knows.
    std::vector<CacheNamespaces> gateways(4);
    std::map<std::string, std::vector<std::string>> makers;  // By namespace.
    for (int step = 0; step < 200; ++step) {
      if (random.chance(0.05)) {
        IsolatedAccounts next;
        for (const std::string& account : accounts) {
          if (random.chance(0.4)) {
            next.insert(account);
          }
        }
        versions.push_back(std::move(next));
      }
      const std::size_t gateway = random.below(gateways.size());
      if (random.chance(0.3)) {
        known[gateway] = versions.size() - 1;
        gateways[gateway] = with_isolated(versions.back());
      }
      const std::string& user = accounts[random.below(accounts.size())];
      std::vector<std::string>& others = makers[namespace_of(gateways[gateway], user)];
      const IsolatedAccounts& isolated = versions[known[gateway]];
      for (const std::string& maker : others) {
        CAPTURE(seed, step, user, maker);
        REQUIRE((maker == user || (!isolated.contains(maker) && !isolated.contains(user))));
      }
      others.push_back(user);
    }
  }
}

}  // namespace bluebellstep
