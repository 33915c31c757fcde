#pragma once

#include "goldcrestgate/core/leasing/job_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace goldcrestgate::core
{

/// @brief Send a query to a peer.
struct send_configuration_query
{
    instance_id peer;
    configuration_query query;
};

/// @brief Obtains the operator's configuration from other instances while the
/// store does not serve this one.
///
/// The store is the first source; while it serves an instance, the instance
/// asks no other, except for a version that it should have read by now.
/// Otherwise it asks the other instances in turn, one at a time, for their
/// version and its age, and requests the document from one that has a newer
/// version. Any instance answers, whatever its role. An instance asks only for
/// what it lacks, and one peer at a time for a document.
///
/// The age is the time since the version was the newest one in the store. An
/// answer of a peer counts from the time of the query, as messages may be
/// delayed.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class configuration_exchange
{
public:
    /// @param self decides which peer is asked first, so that the instances
    /// ask different ones
    configuration_exchange(instance_id self, time_point now);

    /// @brief Handles that a version is in force at this instance.
    void applied(std::uint64_t version);

    /// @brief Handles that the store has been read.
    /// @param as_of all that was published until then is known
    void store_read(time_point as_of);

    /// @brief Handles the version that a peer has.
    void heard(instance_id peer, std::uint64_t version, time_point now);

    /// @brief Handles a new connection to a peer, which may be a new process.
    void connected(instance_id peer);

    /// @brief Handles the loss of a peer; an open query to it has no answer.
    void lost(instance_id peer);

    /// @brief Returns the query that is due.
    [[nodiscard]] std::optional<send_configuration_query> tick(time_point now);

    /// @brief Returns whether the document is to be sent in answer to a query.
    ///
    /// Limits the documents that one instance sends, as its link may be slow;
    /// an instance that is refused asks another one.
    [[nodiscard]] bool grants_document(configuration_query const& query,
                                       std::size_t document_bytes,
                                       time_point now);

    /// @brief Handles an answer, after the document and the evacuations in it
    /// are in force.
    /// @param is_as_recent whether the peer knew all evacuations that this
    /// instance knows
    void report_received(instance_id peer, configuration_report const& report,
                         bool is_as_recent, time_point now);

    /// @brief Returns the time since the version in force was the newest one,
    /// or nothing before the first confirmation.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

    /// @brief Returns the highest version that an instance has reported.
    [[nodiscard]] std::uint64_t newest_reported() const
    {
        return newest_reported_;
    }

private:
    struct peer_state
    {
        std::uint64_t version = 0;
        /// Earliest time of the next request for a document.
        time_point document_retry_at{};
    };

    struct open_query
    {
        instance_id peer;
        std::uint64_t number = 0;
        bool wants_document = false;
        time_point sent_at{};
    };

    using peer_map = std::map<instance_id, peer_state>;

    void expire_query(time_point now);
    /// The peer to request the document from, or the end of the peers.
    [[nodiscard]] peer_map::iterator document_source(time_point now);
    /// The first peer from the next one in turn on that meets a condition.
    template <typename Condition>
    [[nodiscard]] peer_map::iterator next_in_turn(Condition const& condition);
    void advance_turn(instance_id asked);
    [[nodiscard]] send_configuration_query
    ask(instance_id peer, bool wants_document, time_point now);

    time_point started_at_;
    std::uint64_t version_ = 0;
    std::uint64_t newest_reported_ = 0;
    /// Time since which a peer is known to have a newer version.
    std::optional<time_point> behind_since_;
    std::optional<time_point> store_read_at_;
    std::optional<time_point> confirmed_at_;
    peer_map peers_;
    std::optional<open_query> open_;
    time_point asked_at_{};
    std::uint64_t last_number_ = 0;
    /// The peer that is asked next, or the one before it in the order of ids.
    instance_id turn_;
    time_point grants_began_at_{};
    std::size_t granted_bytes_ = 0;
};

} // namespace goldcrestgate::core
