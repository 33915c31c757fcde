#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Issues the submission ids of one incarnation in blocks, which expire
/// as a whole.
///
/// A block holds up to 1,024 sequence numbers. Ids are issued from it for a
/// quarter of the id lifetime, and it expires one lifetime after that, so that
/// each id is valid for at least one lifetime.
class id_minter
{
public:
    /// The maximum number of ids of one block.
    static constexpr std::uint64_t block_size = 1024;

    /// @param owner the incarnation that the ids name
    /// @param lifetime how long an id can be used for a first submission
    id_minter(instance_key owner, duration lifetime);

    /// @brief Issues the next id.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] submission_id mint(time_point now);

    /// @brief Returns when a sequence number expires.
    /// @return nothing if the number was not issued or its block was dropped
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point>
    expiry(std::uint64_t sequence) const;

    /// @brief Returns whether a sequence number was ever issued.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool was_minted(std::uint64_t sequence) const;

    /// @brief Drops the blocks that have expired.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void drop_expired(time_point now);

    /// @brief Returns the incarnation that the ids name.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] instance_key const& owner() const;

private:
    struct block
    {
        std::uint64_t first = 0;
        time_point closes;
        time_point expires;
    };

    void open_block(time_point now);

    instance_key owner_;
    duration lifetime_;
    std::uint64_t next_ = 0;
    std::deque<block> blocks_;
};

} // namespace goldcrestgate::core
