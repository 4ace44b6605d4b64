#include "medlarcroft/catalogue/entry_rules.h"

#include <gtest/gtest.h>

namespace medlarcroft::catalogue {
namespace {

OwnerName Ops() {
  return OwnerName("ops");
}

Entry Domain(const std::string& name) {
  return {
      .name = EntryName("domain." + name),
      .owner = Ops(),
      .body = FailureDomainEntry{.failure_domain = FailureDomainName(name)}};
}

Entry Link(const std::string& from, const std::string& to) {
  return {.name = EntryName("link." + from + "." + to),
          .owner = Ops(),
          .body = LinkEntry{.from = FailureDomainName(from),
                            .to = FailureDomainName(to)}};
}

Entry Service(const std::string& name,
              const std::string& target,
              const std::string& domain) {
  return {.name = EntryName(name),
          .owner = Ops(),
          .body = ServiceEntry{
              .service = ServiceName(name),
              .targets = {{.name = TargetName(target),
                           .failure_domain = FailureDomainName(domain),
                           .address = "127.0.0.1:80"}}}};
}

Entry Drain(DrainSubject subject, const std::string& name) {
  return {.name = EntryName("drain." + name),
          .owner = Ops(),
          .body = DrainEntry{.subject = subject, .name = name}};
}

Entry OwnedBy(Entry entry, const std::string& owner) {
  entry.owner = OwnerName(owner);
  return entry;
}

Entry Named(Entry entry, const std::string& name) {
  entry.name = EntryName(name);
  return entry;
}

CatalogueView View() {
  std::map<EntryName, Entry> entries;
  for (const Entry& entry :
       {Domain("a"), Domain("b"), Link("a", "b"), Service("desk", "d1", "a")}) {
    entries.emplace(entry.name, entry);
  }
  return {4, entries};
}

struct RuleCase {
  std::string name;
  Entry changed;
  std::string path;
  FaultCode code;
};

void PrintTo(const RuleCase& rule_case, std::ostream* out) {
  *out << rule_case.name;
}

class EntryRulesTest : public testing::TestWithParam<RuleCase> {};

TEST_P(EntryRulesTest, ReportsPathAndCode) {
  const FieldFaults faults = CheckChange(View(), GetParam().changed);

  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].path, GetParam().path);
  EXPECT_EQ(faults[0].code, GetParam().code);
}

std::vector<RuleCase> RuleCases() {
  return {
      {"LinkFromUnknownDomain", Link("x", "b"), "from",
       FaultCode::kUnknownReference},
      {"DuplicateLink", Named(Link("a", "b"), "l2"), "to",
       FaultCode::kDuplicate},
      {"TargetInUnknownDomain", Service("s2", "d2", "x"),
       "targets[0].failure_domain", FaultCode::kUnknownReference},
      {"TargetOfOtherService", Service("s2", "d1", "a"), "targets[0].name",
       FaultCode::kDuplicate},
      {"DuplicateService", Named(Service("desk", "d2", "a"), "desk2"),
       "service", FaultCode::kDuplicate},
      {"DuplicateDomain", Named(Domain("a"), "a2"), "failure_domain",
       FaultCode::kDuplicate},
      {"ChangeByOtherOwner", OwnedBy(Domain("a"), "other"), "owner",
       FaultCode::kOwnerChange},
      {"ChangedKind", Named(Link("b", "a"), "domain.a"), "kind",
       FaultCode::kNameMismatch},
      {"DrainOfUnknownTarget", Drain(DrainSubject::kTarget, "d9"), "name",
       FaultCode::kUnknownReference},
      {"DrainOfUnknownDomain", Drain(DrainSubject::kFailureDomain, "x"), "name",
       FaultCode::kUnknownReference},
      {"DrainOfTargetOfOtherOwner",
       OwnedBy(Drain(DrainSubject::kTarget, "d1"), "other"), "name",
       FaultCode::kOwnerChange},
  };
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EntryRulesTest,
                         testing::ValuesIn(RuleCases()),
                         [](const auto& tested) { return tested.param.name; });

TEST(EntryRulesAcceptTest, ValidChanges) {
  for (const Entry& entry :
       {Link("b", "a"), Service("desk", "d7", "b"),
        Drain(DrainSubject::kTarget, "d1"),
        Drain(DrainSubject::kFailureDomain, "a"),
        OwnedBy(Drain(DrainSubject::kHost, "any-host"), "other")}) {
    EXPECT_TRUE(CheckChange(View(), entry).empty()) << entry.name;
  }
}

TEST(EntryRulesAcceptTest, DeletionWithoutDanglingReference) {
  EXPECT_EQ(CheckDeletion(View(), EntryName("domain.a"), Ops()).size(), 2U);
  EXPECT_EQ(CheckDeletion(View(), EntryName("domain.b"), Ops()).size(), 1U);
  EXPECT_TRUE(CheckDeletion(View(), EntryName("link.a.b"), Ops()).empty());
  EXPECT_TRUE(CheckDeletion(View(), EntryName("desk"), Ops()).empty());
  const auto faults =
      CheckDeletion(View(), EntryName("desk"), OwnerName("other"));
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].code, FaultCode::kOwnerChange);
}

}  // namespace
}  // namespace medlarcroft::catalogue
