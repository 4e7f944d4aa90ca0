#pragma once

#include <dogwoodvalve/demand.h>
#include <dogwoodvalve/path_selector.h>
#include <dogwoodvalve/timer_service.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// Room for context on the servers of a service, in tokens over the layers that have least of it.
struct ServiceRoom
{
    /// All of it, less the part that is never reserved.
    double total = 0;
    /// What requests of all hosts hold.
    double held = 0;
};

/// The room over all layers of a model, at the layer that can hold the fewest tokens.
ServiceRoom serviceRoom(std::span<const PathServer> servers, int modelLayers);

/// A request that asks to be started.
struct FleetAdmissionRequest
{
    /// 0 is the most urgent.
    int rank = 0;
    std::string_view workspace;
    /// Expected size of its context in tokens.
    double tokens = 0;
};

/// Whether a request is admitted, and if not, why.
enum class AdmissionOutcome {
    Admitted,
    /// The room is taken for the moment, though there is enough for all. The request may wait.
    NoRoomYet,
    /// More urgent requests need the room.
    KeptForHigherRanks,
    /// The workspace holds its share of the room, and others ask for theirs.
    OverShare,
};

std::string_view toString(AdmissionOutcome outcome);

struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Admitted;
    /// Share of the room that requests of the same or a higher rank need; above 1 if not all of
    /// them can be served.
    double load = 0;
    /// When the caller should return; zero if it need not.
    Duration retryAfter {};

    bool isRefused() const
    {
        return outcome == AdmissionOutcome::KeptForHigherRanks
            || outcome == AdmissionOutcome::OverShare;
    }
};

/// Decides which requests of one service start while all hosts together are asked for more than its
/// servers have room for. Every host decides alone on the same digests, without a coordinator.
///
/// What a rank or a workspace needs is what it asks for per second times how long requests hold
/// their context. Ranks get the room in their order: a lower one is admitted while there is room
/// beside what the higher ones need and do not hold yet. While a rank needs more than is left for
/// it, its workspaces share that equally, and what one does not need goes to the others. No room is
/// kept idle for long: a need ends within seconds after its requests stop.
class FleetAdmission
{
public:
    /// Replaces what is known of the room, the demand of all hosts, and the usual size of a request
    /// in tokens.
    void update(const ServiceRoom &room, const DemandTotals &demand, std::string_view service,
                double usualTokens);

    /// `jitter`, a random number in [0, 1), spreads the times at which callers return. They return
    /// the later, the less urgent they are, but within the given time.
    AdmissionDecision decide(const FleetAdmissionRequest &request, Duration timeLeft,
                             double jitter) const;

    /// A request of this host has begun to hold its context, or has released it, which the digests
    /// do not contain yet.
    void recordStarted(const FleetAdmissionRequest &request) { addHeld(request, request.tokens); }
    void recordEnded(const FleetAdmissionRequest &request) { addHeld(request, -request.tokens); }

    const ServiceRoom &room() const { return m_room; }
    /// For how long requests hold their context, on average over tokens; zero if none has ended.
    Duration holdTime() const { return m_holdTime; }
    /// Share of the room that all requests together need.
    double load() const { return m_ranks.empty() ? 0 : load(m_ranks.back().rank); }

private:
    struct Workspace
    {
        double held = 0;
        double needed = 0;
    };

    /// The part of the room that one rank may use, and its division among the workspaces.
    struct Rank
    {
        int rank = 0;
        /// Most that may be held when a request of this rank starts. The less urgent a rank, the
        /// more is left for variations of the load of those above it.
        double limit = 0;
        double available = 0;
        double held = 0;
        double needed = 0;
        /// What the higher ranks need and do not hold yet.
        double shortOfHigher = 0;
        /// What this rank and the higher ones need.
        double neededSoFar = 0;
        /// Most that one workspace may hold. Unlimited while the rank gets all that it needs.
        double workspaceLimit = 0;
        std::map<std::string, Workspace, std::less<>> workspaces;
    };

    void addHeld(const FleetAdmissionRequest &request, double tokens);
    const Rank *findRank(int rank) const;
    bool isWithinShare(const Rank &rank, const FleetAdmissionRequest &request) const;
    double load(int rank) const;

    ServiceRoom m_room;
    /// The room without the part that variations of the load need, in tokens.
    double m_usable = 0;
    Duration m_holdTime {};
    std::vector<Rank> m_ranks;
};

} // namespace dogwoodvalve
