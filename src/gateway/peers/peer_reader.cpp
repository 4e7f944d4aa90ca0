#include "gateway/peers/peer_reader.h"

#include "core/duration_math.h"
#include "core/mutation.h"
#include "daemon/log.h"
#include "gateway/peers/digest_router.h"
#include "gateway/support_api.h"
#include "net/buffered_request.h"
#include "net/compression.h"
#include "net/endpoint.h"
#include "net/http_text.h"

#include <algorithm>

namespace dogwoodvalve {

namespace {

constexpr Duration CheckInterval = 400ms;
/// Each check interval is multiplied by a random factor from 0.9 to 1.1.
constexpr double MinJitterFactor = 0.9;
constexpr double JitterRange = 0.2;
/// Registrations older than this are pulled from another host. As readers read every second, all
/// hosts learn of a change within about 2 s.
constexpr Duration StaleRegistrationsAge = 900ms;
/// A reader whose registrations are older than this has lost contact with the store.
constexpr Duration StaleReaderAge = StaleRegistrationsAge * 2;
/// Registrations are pulled from a host that is not a reader only if its own are newer by more than
/// this.
constexpr Duration MinFreshnessGain = 200ms;
constexpr Duration PullTimeout = 700ms;
/// Hosts that are told of a newer configuration usually have it within this time. One that has not
/// reads the store, which the others reach, in time before its own configuration is too old.
constexpr Duration MaxConfigurationLag = 1500ms;
/// Configurations have hundreds of KB, and a host may send them to several others at a time.
constexpr Duration ConfigurationPullTimeout = 1500ms;
constexpr std::size_t MaxConfigurationBytes = 64U << 20;

} // namespace

PeerReader::PeerReader(GatewayNode &node)
    : m_node(node)
{ }

PeerReader::~PeerReader() = default;

void PeerReader::start()
{
    pullPeriodically();
}

void PeerReader::pullPeriodically()
{
    const TimePoint now = m_node.now();
    const FeedRole role = chooseRole();
    const bool reads = role == FeedRole::Reader;
    if (reads != (m_role == FeedRole::Reader))
        LogEvent("feed_role")
            .field("reader", reads)
            .field("hosts", m_node.view().hosts().liveHosts(now));
    m_role = role;
    m_node.platform().feed->setRole(role);
    if (m_node.view().serversAge() > StaleRegistrationsAge && !mutated("gateway-no-pull"))
        pullFromUpToDatePeer();
    // Jitter keeps hosts that started together from pulling at the same moments.
    const Duration pause =
        scaled(CheckInterval, MinJitterFactor + JitterRange * m_node.random().fraction());
    m_node.timers().schedule(now + pause, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            pullPeriodically();
    });
}

FeedRole PeerReader::chooseRole()
{
    const HostTable &hosts = m_node.view().hosts();
    const std::string &self = m_node.settings().name;
    const TimePoint now = m_node.now();
    if (hosts.exchangeMode() == ExchangeMode::Member)
        return chooseMemberRole();
    if (hosts.exchangeMode() == ExchangeMode::Direct)
        return hosts.isTopRanked(self, ReaderTask, ReaderCount, now) ? FeedRole::Reader
                                                                     : FeedRole::Follower;
    const auto first = hosts.relaysOf(m_node.settings().zone, m_node.view().identity(), 1, now);
    return !first.empty() && first.front().name == self ? FeedRole::Reader : FeedRole::Follower;
}

/// A member of a zone depends on its relays. While these can't read the store, the members read it
/// instead, each so seldom that they do so a few times a second together, as each call is priced;
/// the others learn from them. A member that hears no relay reads by itself.
FeedRole PeerReader::chooseMemberRole()
{
    const HostTable &hosts = m_node.view().hosts();
    if (hosts.isolated(m_node.now()) || fallenBehind())
        return FeedRole::Substitute;
    const auto members =
        std::count_if(hosts.peers().begin(), hosts.peers().end(), [this](const auto &it) {
            return it.second.digest.zone == m_node.settings().zone;
        });
    const double share = 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(1, members));
    return m_node.random().chance(share) ? FeedRole::Substitute : FeedRole::Dependent;
}

bool PeerReader::fallenBehind()
{
    const FleetView &view = m_node.view();
    const std::uint64_t version = view.configurationVersion();
    std::uint64_t newest = version;
    if (view.configurationAge() >= MaxConfigurationLag && !mutated("gateway-stay-behind")) {
        for (const auto &[name, peer] : view.hosts().peers()) {
            if (view.hosts().isLive(peer, m_node.now()))
                newest = std::max(newest, peer.digest.configurationVersion);
        }
    }
    const bool behind = newest > version;
    if (behind && !m_fallenBehind)
        LogEvent("configuration_fetch_overdue")
            .field("version", version)
            .field("newest", newest)
            .field("configuration_age_ms", view.configurationAge().count() / 1000);
    return m_fallenBehind = behind;
}

std::vector<const HostTable::Peer *> PeerReader::readers() const
{
    const HostTable &hosts = m_node.view().hosts();
    const TimePoint now = m_node.now();
    if (hosts.exchangeMode() == ExchangeMode::Direct)
        return hosts.topRankedPeers(m_node.settings().name, ReaderTask, ReaderCount, now);
    std::vector<const HostTable::Peer *> relays;
    for (const HostDigest &relay : hosts.relaysOf(m_node.settings().zone, m_node.view().identity(),
                                                  DigestRouter::RelaysPerZone, now)) {
        if (const auto it = hosts.peers().find(relay.name); it != hosts.peers().end())
            relays.push_back(&it->second);
    }
    return relays;
}

/// Pulls from a reader that is up to date; if there is none, from any host with newer
/// registrations.
void PeerReader::pullFromUpToDatePeer()
{
    const HostTable &hosts = m_node.view().hosts();
    const TimePoint now = m_node.now();
    const auto ageAt = [now](const HostTable::Peer &peer) {
        return peer.digest.registrationsAge + (now - peer.lastSeenAt);
    };
    std::vector<const HostTable::Peer *> from = readers();
    std::erase_if(from, [&](const auto *peer) { return ageAt(*peer) >= StaleReaderAge; });
    for (auto it = hosts.peers().begin(); from.empty() && it != hosts.peers().end(); ++it) {
        if (hosts.isLive(it->second, now)
            && ageAt(it->second) + MinFreshnessGain < m_node.view().serversAge())
            from.push_back(&it->second);
    }
    if (!from.empty())
        pullRegistrations(from[m_node.random().next() % from.size()]->digest);
}

/// Sends a GET request to a host's peer address. Errors are logged. The flag is set while the
/// request is in flight, and prevents a second one.
void PeerReader::fetch(const HostDigest &peer, const std::string &target, Duration timeout,
                       bool &inFlight, std::function<Result<void>(const std::string &body)> apply)
{
    const auto endpoint = parseEndpoint(peer.peerAddress);
    if (!endpoint || std::exchange(inFlight, true))
        return;
    HttpRequestHead head;
    head.method = "GET";
    head.target = target;
    sendBufferedRequest(m_node.loop(), endpoint.value(), head, "", timeout,
                        [&inFlight, target, name = peer.name, apply = std::move(apply),
                         alive = std::weak_ptr(m_alive)](Result<HttpResponse> reply) {
                            if (alive.expired())
                                return;
                            inFlight = false;
                            const Result<std::string> body = bodyIfOk(std::move(reply));
                            const Result<void> applied = body ? apply(body.value()) : body.error();
                            if (!applied)
                                LogEvent::decision("peer_fetch_failed")
                                    .field("host", name)
                                    .field("path", pathOf(target))
                                    .field("reason", applied.error().message);
                        });
}

void PeerReader::pullRegistrations(const HostDigest &peer)
{
    const TimePoint askedAt = m_node.now();
    const LogPosition end = m_node.view().serversEnd();
    fetch(peer,
          std::string(SupportApi::RegistrationsPath) + "?era=" + std::to_string(end.era)
              + "&after=" + std::to_string(end.offset),
          PullTimeout, m_registrationsPullInFlight,
          [this, askedAt](const std::string &body) -> Result<void> {
              const auto page = decodeRegistrations(body);
              if (!page)
                  return page.error();
              // The age counts back from when the peer wrote the answer. That was later than
              // askedAt, so the registrations may be newer than this, but not older.
              m_node.view().adoptRegistrations(page.value(), askedAt - page.value().age);
              return BOOST_OUTCOME_V2_NAMESPACE::success();
          });
}

void PeerReader::onDigest(const HostDigest &digest)
{
    const auto &configuration = m_node.view().configuration();
    if (digest.configurationVersion > (configuration ? configuration->version() : 0))
        pullConfiguration(configurationHolder(digest), m_node.now() - digest.configurationAge);
    // A host that has just started needs the servers as soon as some host can tell them.
    if (m_node.view().serversAge() == Duration::max() && digest.registrationsEnd > LogPosition {})
        pullRegistrations(digest);
}

/// A random host of this zone that is known to have the configuration of the given digest, so that
/// the hosts of a large zone do not all fetch a large configuration from its relays.
HostDigest PeerReader::configurationHolder(const HostDigest &digest)
{
    const HostTable &hosts = m_node.view().hosts();
    std::vector<const HostDigest *> holders {&digest};
    for (const auto &[name, peer] : hosts.peers()) {
        if (hosts.exchangeMode() != ExchangeMode::Direct && name != digest.name
            && peer.digest.zone == m_node.settings().zone
            && peer.digest.configurationVersion >= digest.configurationVersion
            && hosts.isLive(peer, m_node.now()))
            holders.push_back(&peer.digest);
    }
    return *holders[m_node.random().next() % holders.size()];
}

void PeerReader::pullConfiguration(const HostDigest &peer, TimePoint asOf)
{
    fetch(peer, std::string(SupportApi::ConfigurationPath) + "?form=" + SupportApi::CompressedForm,
          ConfigurationPullTimeout, m_configurationPullInFlight,
          [this, asOf, name = peer.name](const std::string &body) -> Result<void> {
              const Result<std::string> document = decompressText(body, MaxConfigurationBytes);
              if (!document)
                  return document.error();
              const auto decoded = m_node.platform().feed->decodeConfiguration(document.value());
              if (!decoded)
                  return decoded.error();
              LogEvent("configuration_from_host")
                  .field("host", name)
                  .field("version", decoded.value()->version());
              m_node.view().onConfiguration(decoded.value(), document.value());
              m_node.view().onConfigurationConfirmed(asOf);
              return BOOST_OUTCOME_V2_NAMESPACE::success();
          });
}

} // namespace dogwoodvalve
