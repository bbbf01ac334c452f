package org.hawthornglade.entry.control;

import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.node.auth.ClusterKeys;

/**
 * What all links of an entry share.
 *
 * @param entryId who connects
 * @param bootId tells the entry's runs apart
 * @param keys the cluster keys
 * @param configuration the configuration in force
 * @param timeline the entry's time line
 * @param events takes what agents report
 * @param jitter turns a wait in milliseconds into a random one around it
 * @param heartbeatMs how often reports are exchanged when nothing changes, in milliseconds
 * @param silenceTimeoutMs after how much silence a connection is given up, in milliseconds
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
