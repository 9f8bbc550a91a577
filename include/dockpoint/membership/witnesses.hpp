#pragma once

#include <cstdint>
#include <vector>

#include "dockpoint/membership/member.hpp"

namespace dockpoint {

/// Selects the members that keep a piece of knowledge for the fleet. Rendezvous hashing selects the
/// same ones at all nodes with the same members, without a message; a member that joins or leaves
/// changes only the selections that it is part of.
/// @param key hash of what is kept.
/// @return up to `count` members with the capability, the highest score first.
std::vector<const Member*> select_witnesses(std::uint64_t key,
                                            const std::vector<const Member*>& members,
                                            Capability capability, std::size_t count);

}  // namespace dockpoint
