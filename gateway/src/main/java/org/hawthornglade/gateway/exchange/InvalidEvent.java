package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import org.hawthornglade.core.stream.EventDefect;

/**
 * An event that is not a part of its stream.
 *
 * @param defect what is wrong with it
 * @param last the id of the last event before it, if there is one
 */
record InvalidEvent(EventDefect defect, Optional<EventId> last) {}
