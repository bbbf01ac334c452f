package org.hawthornglade.gateway.loop;

import io.netty.channel.EventLoop;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;

/**
 * The event loop and the shared services of an entry.
 *
 * @param loop the single thread that does the entry's work
 * @param timers schedules actions on the event loop
 * @param clock the monotonic clock
 * @param wallClock the wall clock, which continues while the machine is suspended and may jump
 * @param log receives events
 */
public record LoopContext(EventLoop loop, Timers timers, Clock clock, Clock wallClock, EventLog log) {}
