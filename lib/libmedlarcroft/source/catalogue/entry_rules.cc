#include "medlarcroft/catalogue/entry_rules.h"

#include <map>
#include <string>

#include "medlarcroft/catalogue/entry_codec.h"

namespace medlarcroft::catalogue {

namespace {

std::string TargetPath(std::size_t index, std::string_view key) {
  return "targets[" + std::to_string(index) + "]." + std::string(key);
}

/// @brief Validates a changed entry, depending on its kind.
class ChangeChecker {
 public:
  ChangeChecker(const CatalogueView& view, const Entry& changed)
      : view_(view), changed_(changed) {}

  FieldFaults Run() {
    CheckIdentity();
    std::visit([this](const auto& body) { CheckBody(body); }, changed_.body);
    return std::move(faults_);
  }

 private:
  void Add(std::string path, FaultCode code, std::string allowed) {
    faults_.push_back(
        {.path = std::move(path), .code = code, .allowed = std::move(allowed)});
  }

  void CheckIdentity() {
    const Entry* existing = view_.Find(changed_.name);
    if (existing == nullptr) {
      return;
    }
    if (existing->owner != changed_.owner) {
      Add("owner", FaultCode::kOwnerChange, existing->owner.Value());
    }
    if (existing->body.index() != changed_.body.index()) {
      Add("kind", FaultCode::kNameMismatch,
          std::string(KindOf(existing->body)));
    }
  }

  /// @return another entry of the same kind for which `is_same` holds, or
  /// nullptr.
  template <typename Body, typename Predicate>
  const Entry* FindOther(Predicate is_same) const {
    for (const auto& [name, entry] : view_.Entries()) {
      const auto* body = std::get_if<Body>(&entry.body);
      if (body != nullptr && name != changed_.name && is_same(*body)) {
        return &entry;
      }
    }
    return nullptr;
  }

  template <typename Body, typename Predicate>
  void RejectDuplicate(std::string path, Predicate is_same) {
    if (const Entry* other = FindOther<Body>(is_same)) {
      Add(std::move(path), FaultCode::kDuplicate,
          "not what entry " + other->name.Value() + " describes");
    }
  }

  void RequireDomain(std::string path, const FailureDomainName& name) {
    if (view_.FindFailureDomain(name) == nullptr) {
      Add(std::move(path), FaultCode::kUnknownReference,
          "a failure domain that has an entry");
    }
  }

  void CheckBody(const ServiceEntry& service) {
    RejectDuplicate<ServiceEntry>("service", [&](const ServiceEntry& other) {
      return other.service == service.service;
    });
    const auto others = TargetsOfOtherEntries();
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
      const TargetSpec& target = service.targets[i];
      RequireDomain(TargetPath(i, "failure_domain"), target.failure_domain);
      // Drains and reports identify a target by name only, without its service,
      // so the name must be unique among all services.
      const auto found = others.find(target.name);
      if (found != others.end()) {
        Add(TargetPath(i, "name"), FaultCode::kDuplicate,
            "not a target of entry " + found->second->name.Value());
      }
    }
  }

  [[nodiscard]] std::map<TargetName, const Entry*> TargetsOfOtherEntries()
      const {
    std::map<TargetName, const Entry*> targets;
    for (const auto& [name, entry] : view_.Entries()) {
      const auto* service = std::get_if<ServiceEntry>(&entry.body);
      if (service == nullptr || name == changed_.name) {
        continue;
      }
      for (const TargetSpec& target : service->targets) {
        targets.emplace(target.name, &entry);
      }
    }
    return targets;
  }

  void CheckBody(const FailureDomainEntry& domain) {
    RejectDuplicate<FailureDomainEntry>(
        "failure_domain", [&](const FailureDomainEntry& other) {
          return other.failure_domain == domain.failure_domain;
        });
  }

  void CheckBody(const LinkEntry& link) {
    RequireDomain("from", link.from);
    RequireDomain("to", link.to);
    RejectDuplicate<LinkEntry>("to", [&](const LinkEntry& other) {
      return other.from == link.from && other.to == link.to;
    });
  }

  void CheckBody(const DrainEntry& drain) {
    RejectDuplicate<DrainEntry>("name", [&](const DrainEntry& other) {
      return other.subject == drain.subject && other.name == drain.name;
    });
    if (drain.subject == DrainSubject::kHost) {
      return;
    }

    const Entry* subject = FindDrainSubject(drain);
    if (subject == nullptr) {
      Add("name", FaultCode::kUnknownReference,
          "a known " + std::string(NameOf(drain.subject)));
    } else if (subject->owner != changed_.owner) {
      // Prevents an owner from draining another owner's targets.
      Add("name", FaultCode::kOwnerChange,
          "something that " + changed_.owner.Value() + " owns");
    }
  }

  [[nodiscard]] const Entry* FindDrainSubject(const DrainEntry& drain) const {
    if (drain.subject == DrainSubject::kFailureDomain) {
      return FindOther<FailureDomainEntry>(
          [&](const FailureDomainEntry& domain) {
            return domain.failure_domain.Value() == drain.name;
          });
    }
    const auto targets = TargetsOfOtherEntries();
    const auto found = targets.find(TargetName(drain.name));
    return found == targets.end() ? nullptr : found->second;
  }

  const CatalogueView& view_;
  const Entry& changed_;
  FieldFaults faults_;
};

/// @return whether `entry` refers to the failure domain `domain`.
bool RefersTo(const Entry& entry, const FailureDomainName& domain) {
  if (const auto* link = std::get_if<LinkEntry>(&entry.body)) {
    return link->from == domain || link->to == domain;
  }
  const auto* service = std::get_if<ServiceEntry>(&entry.body);
  if (service == nullptr) {
    return false;
  }
  for (const TargetSpec& target : service->targets) {
    if (target.failure_domain == domain) {
      return true;
    }
  }
  return false;
}

}  // namespace

FieldFaults CheckChange(const CatalogueView& view, const Entry& changed) {
  return ChangeChecker(view, changed).Run();
}

FieldFaults CheckDeletion(const CatalogueView& view,
                          const EntryName& name,
                          const OwnerName& owner) {
  const Entry* existing = view.Find(name);
  if (existing == nullptr) {
    return {};
  }

  FieldFaults faults;
  if (existing->owner != owner) {
    faults.push_back({.path = "owner",
                      .code = FaultCode::kOwnerChange,
                      .allowed = existing->owner.Value()});
  }
  const auto* domain = std::get_if<FailureDomainEntry>(&existing->body);
  if (domain == nullptr) {
    return faults;
  }
  for (const auto& [other_name, other] : view.Entries()) {
    if (RefersTo(other, domain->failure_domain)) {
      faults.push_back({.path = "",
                        .code = FaultCode::kStillReferenced,
                        .allowed = "after entry " + other_name.Value() +
                                   " no longer names the failure domain"});
    }
  }
  return faults;
}

}  // namespace medlarcroft::catalogue
