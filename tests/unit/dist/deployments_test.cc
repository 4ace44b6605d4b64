#include <gtest/gtest.h>
#include <yaml-cpp/yaml.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/entry_rules.h"

namespace medlarcroft {
namespace {

/// Required size of one service.
struct ServiceSize {
  std::string service;
  std::size_t targets;
  unsigned slots;
};

/// Required size of one deployment.
struct DeploymentSize {
  std::string name;
  std::size_t entry_hosts;
  std::vector<std::string> failure_domains;
  std::vector<ServiceSize> services;
  unsigned connections;
  unsigned near_latency_us;
  unsigned far_latency_us;
};

std::ostream& operator<<(std::ostream& out, const DeploymentSize& size) {
  return out << size.name;
}

class Deployments : public testing::TestWithParam<DeploymentSize> {
 protected:
  Deployments()
      : folder_(std::string(MEDLARCROFT_SOURCE_DIR) + "/dist/deployments/" +
                GetParam().name),
        deployment_(YAML::LoadFile(folder_ + "/deployment.yaml")) {
    for (const YAML::Node& file : deployment_["catalogue"]) {
      std::ifstream input(folder_ + "/" + file.as<std::string>());
      documents_.emplace_back(std::istreambuf_iterator<char>(input),
                              std::istreambuf_iterator<char>());
      const auto entry = nlohmann::json::parse(documents_.back());
      entries_[entry["kind"]].push_back(entry);
    }
  }

  std::string folder_;
  YAML::Node deployment_;
  std::vector<std::string> documents_;
  std::map<std::string, std::vector<nlohmann::json>> entries_;
};

TEST_P(Deployments, HaveTheRequiredFailureDomainsAndEntryHosts) {
  std::vector<std::string> failure_domains;
  std::size_t hosts = 0;
  for (const YAML::Node& domain : deployment_["failure_domains"]) {
    failure_domains.push_back(domain["name"].as<std::string>());
    hosts += domain["entry_hosts"].size();
  }
  EXPECT_EQ(failure_domains, GetParam().failure_domains);
  EXPECT_EQ(hosts, GetParam().entry_hosts);
  EXPECT_EQ(entries_["failure-domain"].size(), failure_domains.size());
}

TEST_P(Deployments, HaveTheRequiredTargetsAndSlots) {
  for (const ServiceSize& expected : GetParam().services) {
    SCOPED_TRACE(expected.service);
    std::set<std::string> domains;
    std::size_t targets = 0;
    for (const auto& entry : entries_["service"]) {
      if (entry["service"] != expected.service) {
        continue;
      }
      for (const auto& target : entry["targets"]) {
        EXPECT_EQ(target["slots"], expected.slots);
        EXPECT_EQ(target["max_connections"], GetParam().connections);
        domains.insert(target["failure_domain"]);
        targets++;
      }
    }
    EXPECT_EQ(targets, expected.targets);
    EXPECT_EQ(domains.size(), GetParam().failure_domains.size());
  }
}

TEST_P(Deployments, HaveALinkWithItsLatencyForEachPairOfFailureDomains) {
  std::map<std::string, std::string> regions;
  for (const auto& domain : entries_["failure-domain"]) {
    regions[domain["failure_domain"]] = domain["region"];
    EXPECT_EQ(domain["client_latency_us"], 8000);
  }
  EXPECT_EQ(entries_["link"].size(), 30U);
  for (const auto& link : entries_["link"]) {
    const bool is_near = regions[link["from"]] == regions[link["to"]];
    EXPECT_EQ(link["latency_us"],
              is_near ? GetParam().near_latency_us : GetParam().far_latency_us);
  }
}

TEST_P(Deployments, StartTheTargetsInTheCatalogue) {
  std::map<std::string, std::string> started;
  for (const YAML::Node& target : deployment_["targets"]) {
    started[target["name"].as<std::string>()] =
        target["address"].as<std::string>();
  }
  std::map<std::string, std::string> declared;
  std::set<std::string> addresses;
  for (const auto& entry : entries_["service"]) {
    for (const auto& target : entry["targets"]) {
      declared[target["name"]] = target["address"];
      addresses.insert(target["address"]);
    }
  }
  EXPECT_EQ(started, declared);
  EXPECT_EQ(addresses.size(), declared.size());
}

TEST_P(Deployments, AreValidCatalogueEntriesInTheirOrder) {
  std::map<EntryName, catalogue::Entry> accepted;
  std::uint64_t revision = 0;
  for (const std::string& document : documents_) {
    const auto parsed =
        catalogue::ParseEntry(document, catalogue::UnknownFields::kRefuse);
    ASSERT_TRUE(IsOk(parsed))
        << ErrorOf(parsed).front().path << ErrorOf(parsed).front().allowed;
    const catalogue::CatalogueView view(revision++, accepted);
    const auto faults = catalogue::CheckChange(view, ValueOf(parsed));
    ASSERT_TRUE(faults.empty())
        << ValueOf(parsed).name << ": " << faults.front().path;
    accepted[ValueOf(parsed).name] = ValueOf(parsed);
  }
}

TEST_P(Deployments, ListEveryCatalogueFile) {
  std::size_t files = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(folder_ + "/catalogue")) {
    files += file.is_regular_file() ? 1 : 0;
  }
  EXPECT_EQ(deployment_["catalogue"].size(), files);
}

INSTANTIATE_TEST_SUITE_P(
    Dist,
    Deployments,
    testing::Values(DeploymentSize{"uwimana",
                                   8,
                                   {"kg-nyarugenge", "kg-kicukiro", "hy-tumba",
                                    "hy-ngoma", "mz-muhoza", "mz-cyuve"},
                                   {{"lookup-desk", 12, 7},
                                    {"swap-ledger", 12, 3},
                                    {"plan-library", 12, 8}},
                                   330,
                                   500,
                                   55000},
                    DeploymentSize{"campos",
                                   11,
                                   {"oviedo-a", "gijon-b", "santander-a",
                                    "torrelavega-b", "bilbao-a", "donostia-b"},
                                   {{"slotboard", 14, 3},
                                    {"reserva", 12, 3},
                                    {"greenkeeper", 14, 3}},
                                   390,
                                   500,
                                   35000}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft
