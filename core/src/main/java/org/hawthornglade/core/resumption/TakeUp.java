package org.hawthornglade.core.resumption;

import java.util.Optional;
import org.hawthornglade.core.id.RequestId;

/**
 * A caller's wish to go on with a stream that an earlier attempt began.
 *
 * @param origin the attempt that brought the first event; empty if the caller names none that can be read
 */
public record TakeUp(Optional<RequestId> origin) {}
