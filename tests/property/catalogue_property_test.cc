#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <rapidcheck/state.h>
#include <map>
#include <memory>
#include <vector>

#include "fakes/catalogue_platform.h"
#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/catalogue/catalogue_store.h"

// Operators change three entries through the stores of two hosts. Commits lose
// their requests or responses or are delayed, the platform is unavailable at
// times, and its reads return stale data. Three replicas apply deltas from the
// platform and from each other in any order, repeatedly.

namespace medlarcroft::catalogue {
namespace {

using fakes::CommitFault;

constexpr std::size_t kStores = 2;
constexpr std::size_t kReplicas = 3;

/// Empty: the checks read the table itself.
struct Model {};

struct System {
  System() {
    for (std::size_t i = 0; i < kStores; ++i) {
      stores.push_back(std::make_unique<CatalogueStore>(
          CatalogueStore::Options{.max_attempts = 3, .snapshot_interval = 4},
          CatalogueStore::Ports{.table = platform.table,
                                .objects = platform.objects,
                                .clock = platform.clock,
                                .random = platform.random,
                                .sleep = [](Duration) {}}));
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      replicas.push_back(std::make_unique<CatalogueReplica>(
          CatalogueReplica::Options{.kept_changes = 5}, platform.clock));
    }
  }

  fakes::CataloguePlatform platform;
  std::vector<std::unique_ptr<CatalogueStore>> stores;
  std::vector<std::unique_ptr<CatalogueReplica>> replicas;
  /// Earlier deltas, which may be delivered again.
  std::vector<Delta> past_deltas;
  std::map<std::uint64_t, std::map<std::string, std::string>>
      documents_by_revision;
  std::uint32_t changes = 0;
};

std::map<std::string, std::string> DocumentsOf(const CatalogueReplica& replica,
                                               std::uint64_t& revision) {
  // A delta for an empty host contains the documents as stored.
  CatalogueState state;
  const Delta delta = replica.ChangesSince(0, 1'000'000);
  if (delta.is_snapshot) {
    state.Replace(delta);
  }
  for (const Change& change : delta.changes) {
    state.Apply(change);
  }
  revision = state.Revision();
  std::map<std::string, std::string> documents;
  for (const auto& [name, stored] : state.Entries()) {
    documents[name.Value()] = stored.document;
  }
  return documents;
}

using Command = rc::state::Command<Model, System>;

/// Submits an operator's change while commits fail.
struct SubmitChange : Command {
  std::size_t store = *rc::gen::inRange<std::size_t>(0, kStores);
  std::string entry = *rc::gen::element<std::string>("a", "b", "c");
  std::uint64_t expected = *rc::gen::inRange<std::uint64_t>(0, 6);
  bool has_read_version =
      *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
  bool is_deletion = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  std::vector<CommitFault> faults =
      *rc::gen::container<std::vector<CommitFault>>(
          rc::gen::weightedElement<CommitFault>(
              {{4, CommitFault::kNone},
               {1, CommitFault::kResponseLost},
               {1, CommitFault::kRequestLost},
               {1, CommitFault::kDelayed}}));

  void run(const Model&, System& system) const override {
    const std::string id = "c" + std::to_string(++system.changes);
    const std::uint64_t version =
        has_read_version ? CurrentVersion(system) : expected;
    system.platform.table.FailNextCommits(faults);
    const ChangeRequest request =
        is_deletion
            ? fakes::Deletion(id, entry, version)
            : fakes::DomainChange(id, entry, version, 1 + system.changes % 99);
    const ChangeResult result = system.stores[store]->Accept(request);
    system.platform.table.FailNextCommits({});
    Check(system, id, result);
  }

  std::uint64_t CurrentVersion(System& system) const {
    const auto reading = system.stores[store]->Read(EntryName(entry));
    return IsOk(reading) ? ValueOf(reading).version : expected;
  }

  /// Checks the rows of the fake itself, regardless of frozen reads.
  static void Check(System& system,
                    const std::string& id,
                    const ChangeResult& result) {
    const auto& rows = system.platform.table.Rows();
    if (IsOk(result)) {
      RC_ASSERT(rows.contains(ChangeIdKey(id)));
      RC_ASSERT(rows.contains(ChangeKey(ValueOf(result).revision)));
      return;
    }
    if (std::holds_alternative<ChangeOutcomeUnknown>(ErrorOf(result))) {
      return;
    }
    // After a reported failure the change must not be in the table, not even
    // once delayed commits take effect.
    system.platform.table.DeliverDelayedCommits();
    RC_ASSERT(!system.platform.table.Rows().contains(ChangeIdKey(id)));
  }

  void show(std::ostream& out) const override {
    out << "change " << entry << " through " << store;
  }
};

/// Changes the availability of the platform or the freshness of its reads.
struct ChangePlatformState : Command {
  int platform_state = *rc::gen::inRange(0, 12);

  void run(const Model&, System& system) const override {
    auto& table = system.platform.table;
    switch (platform_state) {
      case 0:
        table.SetDown(true);
        break;
      case 1:
        table.FreezeReads();
        break;
      case 2:
        table.DeliverDelayedCommits();
        break;
      default:
        table.SetDown(false);
        table.UnfreezeReads();
    }
  }

  void show(std::ostream& out) const override {
    out << "platform state " << platform_state;
  }
};

/// Applies a delta from the platform, a peer, or an earlier response to a
/// replica.
struct ReplicateDelta : Command {
  std::size_t to = *rc::gen::inRange<std::size_t>(0, kReplicas);
  /// Index of a replica; kReplicas means an earlier delta, and higher values
  /// mean the platform.
  std::size_t from = *rc::gen::inRange<std::size_t>(0, kReplicas + 5);
  /// Number of revisions before (here) or after (below) the held one from which
  /// changes are requested.
  std::uint64_t revisions_behind = *rc::gen::inRange<std::uint64_t>(0, 9);
  std::uint64_t revisions_ahead =
      *rc::gen::weightedElement<std::uint64_t>({{6, 0}, {1, 1}, {1, 2}});
  std::size_t selector = *rc::gen::inRange<std::size_t>(0, 1000);

  void run(const Model&, System& system) const override {
    CatalogueReplica& replica = *system.replicas[to];
    const std::uint64_t before = replica.Revision();
    const Delta delta = MakeDelta(system, before);
    system.past_deltas.push_back(delta);
    (void)replica.Apply(delta, RevisionSource::kPeer);

    RC_ASSERT(replica.Revision() >= before);
    RC_ASSERT(replica.HighestSeen() >= replica.Revision());
    CheckEqualAtEqualRevision(system, replica);
    CheckPeerCanFollow(replica);
  }

  /// A peer with an older revision can reach the revision of this replica
  /// through its deltas alone.
  static void CheckPeerCanFollow(const CatalogueReplica& replica) {
    for (std::uint64_t held = 0; held < replica.Revision();) {
      const Delta delta = replica.ChangesSince(held, 2);
      RC_ASSERT(delta.to_revision > held);
      RC_ASSERT(delta.to_revision <= replica.Revision());
      held = delta.to_revision;
    }
    for (std::uint64_t held = 0; held < replica.Revision(); ++held) {
      const Delta delta = replica.ChangesSince(held, 2);
      const bool is_contiguous =
          delta.is_snapshot || delta.changes.at(0).revision == held + 1;
      RC_ASSERT(is_contiguous);
    }
  }

  Delta MakeDelta(System& system, std::uint64_t revision) const {
    const std::uint64_t asked =
        revision + revisions_ahead - std::min(revision, revisions_behind);
    if (from < kReplicas) {
      return system.replicas[from]->ChangesSince(asked, 3);
    }
    if (from == kReplicas && !system.past_deltas.empty()) {
      return system.past_deltas[selector % system.past_deltas.size()];
    }
    CatalogueReader reader(system.platform.table, system.platform.objects);
    if (selector % 4 == 0) {
      const auto snapshot = reader.ReadSnapshot();
      return IsOk(snapshot) ? ValueOf(snapshot).value_or(Delta()) : Delta();
    }
    const auto delta = reader.ReadChanges(asked);
    return IsOk(delta) ? ValueOf(delta) : Delta();
  }

  static void CheckEqualAtEqualRevision(System& system,
                                        const CatalogueReplica& replica) {
    std::uint64_t revision = 0;
    const auto documents = DocumentsOf(replica, revision);
    RC_ASSERT(revision == replica.Revision());
    const auto [known, is_new] =
        system.documents_by_revision.emplace(revision, documents);
    RC_ASSERT(known->second == documents);
  }

  void show(std::ostream& out) const override {
    out << "replicate " << from << " to " << to << " from " << revisions_behind
        << " revisions back";
  }
};

/// @return every change row, by revision.
std::map<std::uint64_t, Change> ChangesIn(const System& system) {
  std::map<std::uint64_t, Change> changes;
  const auto& rows = system.platform.table.Rows();
  for (auto row = rows.lower_bound(ChangeKey(0));
       row != rows.end() && row->first < EndOfChangeKeys(); ++row) {
    const auto change = ParseChange(row->second.value);
    RC_ASSERT(change.has_value());
    changes[change->revision] = *change;
  }
  return changes;
}

TEST(CatalogueProperty, AcceptedChangesPersistAndReplicasConverge) {
  EXPECT_TRUE(rc::check([] {
    System system;
    rc::state::check(
        Model(), system,
        rc::state::gen::execOneOfWithArgs<SubmitChange, ReplicateDelta,
                                          ReplicateDelta, ReplicateDelta,
                                          ChangePlatformState>());

    system.platform.table.SetDown(false);
    system.platform.table.UnfreezeReads();
    system.platform.table.DeliverDelayedCommits();
    const auto changes = ChangesIn(system);
    const std::uint64_t last = changes.empty() ? 0 : changes.rbegin()->first;
    RC_ASSERT(last == changes.size());

    // Every replica must reach the state that results from applying all change
    // rows.
    CatalogueState expected;
    for (const auto& [revision, change] : changes) {
      RC_ASSERT(expected.Apply(change) == ApplyResult::kApplied);
    }
    for (const auto& replica : system.replicas) {
      CatalogueReader reader(system.platform.table, system.platform.objects);
      while (replica->Revision() < expected.Revision()) {
        (void)replica->Apply(ValueOf(reader.ReadChanges(replica->Revision())),
                             RevisionSource::kPlatform);
      }
      std::uint64_t revision = 0;
      const auto documents = DocumentsOf(*replica, revision);
      RC_ASSERT(documents.size() == expected.Entries().size());
      for (const auto& [name, stored] : expected.Entries()) {
        RC_ASSERT(documents.at(name.Value()) == stored.document);
      }
    }
  }));
}

}  // namespace
}  // namespace medlarcroft::catalogue
