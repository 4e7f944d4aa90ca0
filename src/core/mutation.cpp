#include "core/mutation.h"

#if defined(DOGWOODVALVE_MUTATIONS)

#include <cstdlib>
#include <string>

namespace dogwoodvalve {

bool mutated(std::string_view name)
{
    static const std::string ActiveMutation = [] {
        const char *value = std::getenv("DOGWOODVALVE_MUTATION");
        return std::string(value ? value : "");
    }();
    return name == ActiveMutation;
}

} // namespace dogwoodvalve

#endif
