#pragma once

#include <dogwoodvalve/fleet_admission.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace dogwoodvalve {

class GatewayNode;
struct ServiceRule;

/// Keeps the admission decisions of this host supplied with what it knows of the fleet. Only
/// layered services whose requests differ in rank are controlled, and only while all live hosts
/// report what is asked of them.
class AdmissionControl
{
public:
    explicit AdmissionControl(GatewayNode &node)
        : m_node(node)
    { }

    /// Whether the demand for the service is measured.
    bool measures(const ServiceRule &service);
    /// The urgency that engines are told for requests of a rank, from 0 for the most urgent to 9.
    int urgency(const ServiceRule &service, int rank);
    /// Whether a request may start now.
    AdmissionDecision decide(const ServiceRule &service, const FleetAdmissionRequest &request,
                             Duration timeLeft);
    /// A request has begun to hold context memory, or has released it.
    void recordStarted(const DemandKey &key, double tokens);
    void recordEnded(const DemandKey &key, double tokens);

private:
    struct Service
    {
        FleetAdmission admission;
        TimePoint updatedAt {};
        TimePoint loggedAt {};
        bool active = false;
    };

    /// The ranks that requests to the service can have in the configuration in force.
    std::span<const int> ranks(const ServiceRule &service);
    void refresh(const ServiceRule &service, Service &state);

    GatewayNode &m_node;
    std::map<std::string, Service> m_services;
    std::map<std::string, std::vector<int>> m_ranks;
    std::uint64_t m_ranksVersion = 0;
};

/// The part of one request in the demand for its service. Without effect, and always admitted, if
/// the demand is not measured.
class RequestDemand
{
public:
    /// The node and the service must outlive this object.
    RequestDemand(GatewayNode &node, const ServiceRule &service, int rank, std::string workspace);

    /// Sets the expected size of the request's context.
    void setTokens(double tokens) { m_tokens = tokens; }
    /// Counts the arrival of the request.
    void recordAsked();
    AdmissionDecision decide(Duration timeLeft);
    /// An attempt has begun to hold context memory, or has released it.
    void recordStarted();
    void recordEnded();
    /// The request has been served to its end by an attempt that began at the given time.
    void recordServed(TimePoint startedAt);

private:
    GatewayNode &m_node;
    const ServiceRule &m_service;
    DemandKey m_key;
    double m_tokens = 0;
    bool m_measured = false;
};

} // namespace dogwoodvalve
