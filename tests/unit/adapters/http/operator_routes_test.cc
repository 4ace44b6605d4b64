#include "adapters/http/operator_routes.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fakes/catalogue_platform.h"

namespace medlarcroft::adapters {
namespace {

using catalogue::RevisionSource;
using fakes::CommitFault;
using nlohmann::json;

constexpr std::string_view kDomain =
    R"({"kind":"failure-domain","failure_domain":"a","region":"r","seats":3})";
constexpr std::string_view kDomainPath = "/v1/catalogue/domain.a";

class OperatorRoutesTest : public testing::Test {
 protected:
  HttpResponse Send(std::string method,
                    std::string_view path,
                    HttpHeaders headers = {},
                    std::string_view body = "") {
    headers.Add("Authorization", "Bearer " + token_);
    return Handle({.method = std::move(method),
                   .path = std::string(path),
                   .headers = std::move(headers),
                   .body = std::string(body)});
  }

  HttpResponse Handle(const HttpRequest& request) {
    const auto response = routes_.Handle(request);
    EXPECT_TRUE(response.has_value());
    return response.value_or(HttpResponse());
  }

  HttpResponse Create() {
    return Send("PUT", kDomainPath, {{"If-None-Match", "*"}}, kDomain);
  }

  static std::string CodeOf(const HttpResponse& response) {
    return json::parse(response.body).value("code", "");
  }

  static std::string HeaderOf(const HttpResponse& response,
                              std::string_view name) {
    return std::string(response.headers.Find(name).value_or(""));
  }

  std::string token_ = "secret-1";
  fakes::CataloguePlatform platform_;
  catalogue::CatalogueStore store_ = platform_.MakeStore();
  catalogue::CatalogueReplica replica_{{}, platform_.clock};
  catalogue::OperatorApi api_{
      {.store = store_, .replica = replica_, .make_change_id = [this] {
         return "generated-" + std::to_string(++generated_ids_);
       }}};
  OperatorRoutes routes_{
      {.tokens = {{.token = "secret-1", .owner = OwnerName("ops")},
                  {.token = "secret-2", .owner = OwnerName("other")}}},
      api_};
  int generated_ids_ = 0;
};

TEST_F(OperatorRoutesTest, CreatesReadsChangesAndDeletes) {
  const HttpResponse created = Create();
  const HttpResponse read = Send("GET", kDomainPath);
  // A document that was read can be sent back unchanged.
  const HttpResponse changed =
      Send("PUT", kDomainPath, {{"If-Match", "\"1\""}}, read.body);
  const HttpResponse deleted =
      Send("DELETE", kDomainPath, {{"If-Match", "\"2\""}});

  EXPECT_EQ(created.status, 201);
  EXPECT_EQ(HeaderOf(created, "ETag"), "\"1\"");
  EXPECT_EQ(HeaderOf(created, "Medlar-Change-Id"), "generated-1");
  EXPECT_EQ(HeaderOf(created, "Medlar-Outcome"), "ran");
  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(HeaderOf(read, "ETag"), "\"1\"");
  EXPECT_EQ(json::parse(read.body)["owner"], "ops");
  EXPECT_EQ(changed.status, 200);
  EXPECT_EQ(json::parse(changed.body)["version"], 2);
  EXPECT_EQ(deleted.status, 200);
  EXPECT_EQ(Send("GET", kDomainPath).status, 404);

  const HttpResponse history =
      Send("GET", std::string(kDomainPath) + "/history");
  EXPECT_EQ(json::parse(history.body)["changes"].size(), 3U);
  EXPECT_EQ(json::parse(history.body)["changes"][0]["is_deletion"], true);
}

struct ErrorCase {
  std::string name;
  std::string method;
  std::string path;
  HttpHeaders headers;
  std::string body;
  int status;
  std::string code;
};

void PrintTo(const ErrorCase& error_case, std::ostream* out) {
  *out << error_case.name;
}

class ErrorResponses : public OperatorRoutesTest,
                       public testing::WithParamInterface<ErrorCase> {};

TEST_P(ErrorResponses, HaveACodeAndChangeNothing) {
  ASSERT_EQ(Create().status, 201);
  const ErrorCase& error_case = GetParam();

  const HttpResponse response = Send(error_case.method, error_case.path,
                                     error_case.headers, error_case.body);

  EXPECT_EQ(response.status, error_case.status);
  EXPECT_EQ(CodeOf(response), error_case.code);
  EXPECT_EQ(HeaderOf(response, "Content-Type"), "application/problem+json");
  EXPECT_EQ(HeaderOf(response, "Medlar-Outcome"), "not-run");
  EXPECT_EQ(HeaderOf(Send("GET", kDomainPath), "ETag"), "\"1\"");
}

std::vector<ErrorCase> ErrorCases() {
  const std::string path(kDomainPath);
  const std::string body(kDomain);
  return {
      {"StaleVersion",
       "PUT",
       path,
       {{"If-Match", "\"7\""}},
       body,
       412,
       "version-conflict"},
      {"CreateTwice",
       "PUT",
       path,
       {{"If-None-Match", "*"}},
       body,
       412,
       "version-conflict"},
      {"NoPrecondition", "PUT", path, {}, body, 428, "precondition-required"},
      {"DeleteWithoutPrecondition",
       "DELETE",
       path,
       {},
       "",
       428,
       "precondition-required"},
      {"WeakTag",
       "PUT",
       path,
       {{"If-Match", "W/\"1\""}},
       body,
       400,
       "bad-precondition"},
      {"TagWithoutQuotes",
       "PUT",
       path,
       {{"If-Match", "1"}},
       body,
       400,
       "bad-precondition"},
      {"VersionZero",
       "PUT",
       path,
       {{"If-Match", "\"0\""}},
       body,
       400,
       "bad-precondition"},
      {"BothConditions",
       "PUT",
       path,
       {{"If-Match", "\"1\""}, {"If-None-Match", "*"}},
       body,
       400,
       "bad-precondition"},
      {"NotJson",
       "PUT",
       path,
       {{"If-Match", "\"1\""}},
       "seats: 3",
       422,
       "invalid-entry"},
      {"EntryNameMismatch",
       "PUT",
       path,
       {{"If-Match", "\"1\""}},
       R"({"kind":"failure-domain","entry":"domain.b","failure_domain":"a",)"
       R"("region":"r","seats":3})",
       422,
       "invalid-entry"},
      {"BadName", "GET", "/v1/catalogue/a%b", {}, "", 400, "bad-entry-name"},
      {"BadChangeId",
       "PUT",
       path,
       {{"Medlar-Change-Id", "a b"}},
       body,
       400,
       "bad-change-id"},
      {"UnknownEntry",
       "GET",
       "/v1/catalogue/none",
       {},
       "",
       404,
       "no-such-entry"},
      {"NoHistory",
       "GET",
       "/v1/catalogue/none/history",
       {},
       "",
       404,
       "no-such-entry"},
      {"Method", "POST", path, {}, "", 405, "method-not-allowed"},
      {"RootMethod", "PUT", "/v1/catalogue", {}, "", 405, "method-not-allowed"},
  };
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ErrorResponses,
                         testing::ValuesIn(ErrorCases()),
                         [](const auto& tested) { return tested.param.name; });

// Two operators read version 1 and both write. The second is rejected and gets
// the current entry, so that no change is overwritten unnoticed.
TEST_F(OperatorRoutesTest, AVersionConflictReturnsTheCurrentEntry) {
  Create();
  Send("PUT", kDomainPath, {{"If-Match", "\"1\""}}, kDomain);

  const HttpResponse second =
      Send("PUT", kDomainPath, {{"If-Match", "\"1\""}}, kDomain);

  EXPECT_EQ(second.status, 412);
  EXPECT_EQ(HeaderOf(second, "ETag"), "\"2\"");
  EXPECT_EQ(json::parse(second.body)["current_version"], 2);
  EXPECT_EQ(json::parse(second.body)["current"]["seats"], 3);
}

TEST_F(OperatorRoutesTest, OnlyTheOwnerChangesAnEntry) {
  Create();
  token_ = "secret-2";

  const HttpResponse put =
      Send("PUT", kDomainPath, {{"If-Match", "\"1\""}}, kDomain);
  const HttpResponse named =
      Send("PUT", kDomainPath, {{"If-Match", "\"1\""}},
           R"({"kind":"failure-domain","owner":"ops","failure_domain":"a",)"
           R"("region":"r","seats":3})");
  const HttpResponse removal =
      Send("DELETE", kDomainPath, {{"If-Match", "\"1\""}});

  EXPECT_EQ(put.status, 403);
  EXPECT_EQ(CodeOf(put), "not-owner");
  EXPECT_EQ(CodeOf(named), "not-owner");
  EXPECT_EQ(removal.status, 403);
  EXPECT_EQ(Send("GET", kDomainPath).status, 200);
}

TEST_F(OperatorRoutesTest, RejectsUnknownTokens) {
  for (const std::string token : {"", "secret", "secret-11", "SECRET-1"}) {
    token_ = token;
    const HttpResponse response = Send("GET", "/v1/catalogue");
    EXPECT_EQ(response.status, 401) << token;
    EXPECT_EQ(HeaderOf(response, "WWW-Authenticate"), "Bearer");
  }
  const HttpResponse bare = Handle({.method = "GET", .path = "/v1/catalogue"});
  EXPECT_EQ(bare.status, 401);
}

TEST_F(OperatorRoutesTest, IgnoresOtherPaths) {
  EXPECT_FALSE(routes_.Handle({.method = "GET", .path = "/v1/status"}));
  EXPECT_FALSE(routes_.Handle({.method = "GET", .path = "/v1/catalogues"}));
}

TEST_F(OperatorRoutesTest, ListsInvalidFieldsWithTheirPaths) {
  const HttpResponse response =
      Send("PUT", kDomainPath, {{"If-None-Match", "*"}},
           R"({"kind":"failure-domain","region":"r","seats":0})");

  const json faults = json::parse(response.body)["faults"];
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0]["path"], "failure_domain");
  EXPECT_EQ(faults[0]["code"], "missing");
  EXPECT_EQ(faults[1]["path"], "seats");
  EXPECT_EQ(faults[1]["code"], "out-of-range");
}

// The response to the commit is lost and nothing can be read. The operator gets
// 504 with the change's id, which must not claim "not run"; a retry with that
// id finds the change made, exactly once.
TEST_F(OperatorRoutesTest, RepeatingAChangeIdResolvesAnUnknownOutcome) {
  platform_.table.FailNextCommits({CommitFault::kResponseLost});
  platform_.table.SetBeforeCommit(
      [this] { platform_.table.SetReadsFailing(true); });
  const HttpResponse unknown = Create();
  platform_.table.SetReadsFailing(false);

  EXPECT_EQ(unknown.status, 504);
  EXPECT_EQ(CodeOf(unknown), "outcome-unknown");
  EXPECT_EQ(HeaderOf(unknown, "Medlar-Outcome"), "unknown");

  const HttpResponse settled =
      Send("PUT", kDomainPath,
           {{"If-None-Match", "*"},
            {"Medlar-Change-Id", HeaderOf(unknown, "Medlar-Change-Id")}},
           kDomain);
  EXPECT_EQ(settled.status, 201);
  EXPECT_EQ(json::parse(settled.body)["was_settled"], true);
  EXPECT_EQ(json::parse(settled.body)["version"], 1);
}

// While the platform is down, changes are rejected as certainly not run, with a
// hint to retry, and reads return the entries in effect on this host, marked as
// such.
TEST_F(OperatorRoutesTest, ReadsWorkWhileThePlatformIsDown) {
  Create();
  catalogue::CatalogueReader reader(platform_.table, platform_.objects);
  (void)replica_.Apply(ValueOf(reader.ReadChanges(0)),
                       RevisionSource::kPlatform);
  platform_.table.SetDown(true);

  const HttpResponse read = Send("GET", kDomainPath);
  const HttpResponse change =
      Send("PUT", kDomainPath, {{"If-Match", "\"1\""}}, kDomain);
  const HttpResponse list = Send("GET", "/v1/catalogue");

  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(HeaderOf(read, "Medlar-Source"), "replica");
  EXPECT_EQ(HeaderOf(read, "ETag"), "\"1\"");
  EXPECT_EQ(change.status, 503);
  EXPECT_EQ(HeaderOf(change, "Medlar-Outcome"), "not-run");
  EXPECT_EQ(HeaderOf(change, "Retry-After"), "2");
  EXPECT_EQ(json::parse(list.body)["revision"], 1);
  EXPECT_EQ(json::parse(list.body)["entries"][0]["entry"], "domain.a");
}

// The host holds revision 5; the platform has lost all revisions after 1.
TEST_F(OperatorRoutesTest, ReportsAPlatformThatLostRevisions) {
  Create();
  (void)replica_.Apply({.to_revision = 5, .is_snapshot = true},
                       RevisionSource::kPeer);
  replica_.NoteRevision(1, RevisionSource::kPlatform);

  const HttpResponse change =
      Send("PUT", kDomainPath, {{"If-Match", "\"1\""}}, kDomain);

  EXPECT_EQ(change.status, 503);
  EXPECT_EQ(CodeOf(change), "platform-behind");
  EXPECT_EQ(HeaderOf(change, "Medlar-Outcome"), "not-run");
  EXPECT_EQ(replica_.Status().platform_revision, 1U);
}

}  // namespace
}  // namespace medlarcroft::adapters
