package org.hawthornglade.gateway.loop;

import io.netty.channel.EventLoop;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;

/**
 * What every part of an entry runs on.
 *
 * @param loop the only thread of the entry's own work
 * @param timers runs actions on it
 * @param clock the steady clock
 * @param wallClock the time of day, which goes on while the machine is suspended and may jump
 * @param log takes events
 */
public record LoopContext(EventLoop loop, Timers timers, Clock clock, Clock wallClock, EventLog log) {}
