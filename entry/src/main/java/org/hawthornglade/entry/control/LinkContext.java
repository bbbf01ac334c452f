package org.hawthornglade.entry.control;

import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.node.auth.ClusterKeys;

/**
 * The settings and services that all links of an entry share.
 *
 * @param entryId the id of the connecting entry
 * @param bootId identifies this run of the entry
 * @param keys the cluster keys
 * @param configuration the configuration in force
 * @param timeline the entry's timeline
 * @param events receives the events that agents report
 * @param jitter turns a delay in milliseconds into a random delay around it
 * @param heartbeatMs the interval between reports when nothing changes, in milliseconds
 * @param silenceTimeoutMs the time without data after which a connection is closed, in milliseconds
 */
public record LinkContext(
        String entryId,
        long bootId,
        ClusterKeys keys,
        ConfigurationHolder configuration,
        Timeline timeline,
        Consumer<EntryEvent> events,
        LongUnaryOperator jitter,
        long heartbeatMs,
        int silenceTimeoutMs) {}
