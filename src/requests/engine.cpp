#include "requests/engine.h"

#include "requests/engine_admission.h"
#include "requests/engine_attempts.h"
#include "requests/engine_claims.h"
#include "requests/engine_dispatch.h"
#include "requests/engine_ends.h"
#include "requests/engine_recovery.h"

namespace chervilslip::requests {

template class engine<teams::static_partition>;

} // namespace chervilslip::requests
