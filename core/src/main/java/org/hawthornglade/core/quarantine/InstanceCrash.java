package org.hawthornglade.core.quarantine;

import org.hawthornglade.core.id.InstanceId;

/**
 * A crash of an instance, identified by the start that it ended.
 *
 * @param bornMs when the instance had started, in milliseconds since the Unix epoch
 */
public record InstanceCrash(InstanceId instance, long bornMs) {}
