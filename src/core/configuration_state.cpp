#include "core/mutation.h"

#include <dogwoodvalve/configuration_state.h>
#include <dogwoodvalve/invariant.h>

#include <algorithm>

namespace dogwoodvalve {

namespace {

using Objects = std::map<ObjectId, ConfigurationState::StoredObject>;

template <class Spec>
const Spec *specOf(const ObjectSpec &spec)
{
    const auto *pointer = std::get_if<SpecPointer<Spec>>(&spec);
    return pointer ? pointer->get() : nullptr;
}

bool exists(const Objects &objects, ObjectKind kind, const std::string &name)
{
    return objects.count(ObjectId {kind, name}) > 0;
}

/// Describes the first object that a spec refers to and that does not exist; empty if all exist.
std::string missingReference(const Objects &objects, const ObjectSpec &spec)
{
    const auto zoneProblem = [&](const std::string &zone) {
        return exists(objects, ObjectKind::Zone, zone) ? "" : "zone/" + zone + " does not exist";
    };
    if (const auto *link = specOf<LinkSpec>(spec)) {
        const std::string problem = zoneProblem(link->from);
        return problem.empty() ? zoneProblem(link->to) : problem;
    }
    if (const auto *server = specOf<BackendServerSpec>(spec))
        return zoneProblem(server->zone);
    if (const auto *pipeline = specOf<PipelineSpec>(spec)) {
        if (!exists(objects, ObjectKind::Pool, pipeline->pool))
            return "pool/" + pipeline->pool + " does not exist";
    }
    return "";
}

/// Describes the first object that still refers to the removed one; empty if none does. Only zones
/// and pools are referred to.
std::string danglingReference(const Objects &objects, const ObjectId &removed)
{
    if (removed.kind != ObjectKind::Zone && removed.kind != ObjectKind::Pool)
        return "";
    for (const auto &[id, object] : objects) {
        if (!missingReference(objects, object.spec).empty())
            return id.describe() + " still uses " + removed.describe();
    }
    return "";
}

} // namespace

std::string ConfigurationState::applyOperations(LogOffset offset, const Change &change)
{
    std::vector<std::pair<ObjectId, std::optional<StoredObject>>> undo;
    for (const Operation &operation : change.operations) {
        const StoredObject *before = find(operation.id);
        undo.emplace_back(operation.id, before ? std::optional(*before) : std::nullopt);
        if (operation.spec)
            m_objects[operation.id] = {*operation.spec, offset + 1, change.id};
        else
            m_objects.erase(operation.id);
    }
    std::string problem;
    for (const Operation &operation : change.operations) {
        if (problem.empty())
            problem = operation.spec ? missingReference(m_objects, *operation.spec)
                                     : danglingReference(m_objects, operation.id);
    }
    if (problem.empty())
        return problem;
    for (auto it = undo.rbegin(); it != undo.rend(); ++it) {
        if (it->second)
            m_objects[it->first] = *it->second;
        else
            m_objects.erase(it->first);
    }
    return problem;
}

std::optional<ChangeOutcome> ConfigurationState::validate(const Change &change) const
{
    ChangeOutcome rejection {change.id, m_nextOffset, false, "", ""};
    const auto reject = [&](std::string reason) {
        rejection.reason = std::move(reason);
        return rejection;
    };
    if (change.id.empty() || change.operations.empty())
        return reject("the change has no id or no operations");
    for (const Operation &operation : change.operations) {
        const StoredObject *object = find(operation.id);
        const std::uint64_t version = object ? object->version : 0;
        if (version != operation.baseVersion && !mutated("no-compare-and-set")) {
            rejection.conflictsWith = object ? object->changeId : "";
            return reject(operation.id.describe() + " is at version " + std::to_string(version)
                          + ", the change builds on " + std::to_string(operation.baseVersion));
        }
        if (!object && !operation.spec)
            return reject(operation.id.describe() + " does not exist");
        if (operation.spec
            && operation.spec->index() != static_cast<std::size_t>(operation.id.kind))
            return reject(operation.id.describe() + " has content of another kind");
    }
    return std::nullopt;
}

Result<ChangeOutcome> ConfigurationState::apply(LogOffset offset, const Change &change)
{
    if (offset != m_nextOffset)
        return Error {ErrorKind::InvalidArgument,
                      "record " + std::to_string(offset) + " does not follow "
                          + std::to_string(m_nextOffset),
                      "apply the records in order"};
    if (const ChangeOutcome *earlier = outcome(change.id);
        earlier && !mutated("apply-change-twice")) {
        const ChangeOutcome same = *earlier;
        ++m_nextOffset;
        return same;
    }
    std::optional<ChangeOutcome> rejection = validate(change);
    if (!rejection) {
        const std::string problem = applyOperations(offset, change);
        if (!problem.empty())
            rejection = ChangeOutcome {change.id, offset, false, problem, ""};
    }
    ++m_nextOffset;
    const ChangeOutcome outcome =
        rejection ? *rejection : ChangeOutcome {change.id, offset, true, "", ""};
    recordOutcome(outcome);
    return outcome;
}

Result<void> ConfigurationState::skip(LogOffset offset)
{
    if (offset != m_nextOffset)
        return Error {ErrorKind::InvalidArgument, "a skipped record must be the next one", ""};
    ++m_nextOffset;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

const ConfigurationState::StoredObject *ConfigurationState::find(const ObjectId &id) const
{
    const auto it = m_objects.find(id);
    return it == m_objects.end() ? nullptr : &it->second;
}

const ChangeOutcome *ConfigurationState::outcome(std::string_view changeId) const
{
    const auto it = std::find_if(m_outcomes.begin(), m_outcomes.end(),
                                 [changeId](const ChangeOutcome &o) { return o.id == changeId; });
    return it == m_outcomes.end() ? nullptr : &*it;
}

void ConfigurationState::recordOutcome(ChangeOutcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
    if (m_outcomes.size() > MaxOutcomes)
        m_outcomes.pop_front();
}

void ConfigurationState::restore(LogOffset nextOffset, Objects objects,
                                 std::deque<ChangeOutcome> outcomes)
{
    if (!checkInvariant(nextOffset >= m_nextOffset,
                        "a snapshot must not move the configuration back"))
        return;
    m_nextOffset = nextOffset;
    m_objects = std::move(objects);
    m_outcomes = std::move(outcomes);
}

} // namespace dogwoodvalve
